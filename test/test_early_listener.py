"""The listener for callers that opens before the imports."""

import socket

from oleanderstair.engine import listening_sockets
from oleanderstair.platform import early_listener

TEMPLATE = """// A comment
{
  "instance": { "capacity": { "cores": 1 } },
  "callers": {
    "address": "%s",
    "max_connections": 2000
  },
}
"""


def free_address():
    with socket.create_server(('127.0.0.1', 0)) as bound:
        return listening_sockets.address_of(bound)


def open_for(tmp_path, address):
    path = tmp_path / 'settings.jsonc'
    path.write_text(TEMPLATE % address)
    return early_listener.open_listener(str(path))


# Guards against callers that are refused while the program is imported.
def test_callers_connect_before_the_program_runs(tmp_path):
    address = free_address()
    with open_for(tmp_path, address) as early:
        host, _, port = address.rpartition(':')
        with socket.create_connection((host, int(port)), timeout=1):
            adopted = early_listener.adopt_listener(early, address)
            assert adopted is early
            connection, _ = adopted.accept()
            connection.close()


# Guards against a listener that stays at an address which the settings, once
# parsed, don't name.
def test_listener_at_another_address_is_closed(tmp_path):
    early = open_for(tmp_path, free_address())
    with early_listener.adopt_listener(early, '127.0.0.1:0') as adopted:
        assert adopted is not early
        assert early.fileno() == -1


# Guards against a start that fails without the message of its settings.
def test_unusable_settings_are_left_to_the_program(tmp_path):
    assert early_listener.open_listener(str(tmp_path / 'missing')) is None
    for address in ('', '10.0.0.256:80', '127.0.0.1:99999', 'localhost:80'):
        assert open_for(tmp_path, address) is None


def test_address_in_use_is_left_to_the_program(tmp_path):
    with socket.create_server(('127.0.0.1', 0)) as other:
        address = listening_sockets.address_of(other)
        assert open_for(tmp_path, address) is None
