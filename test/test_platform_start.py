"""What a gateway imports before it listens, and that it then collects."""

import ast
import contextlib
import dataclasses
import gc
import importlib
import inspect
import pathlib
import site
import socket
import subprocess
import sys
import tomllib

import anyio
import pytest

from oleanderstair import running
from oleanderstair.engine import listening
from oleanderstair.platform import early

LATER = {
    'cappa',
    'certifi',
    'eliot',
    'h11',
    'httpcore',
    'importlib.metadata',
    'importlib.resources',
    'json5',
    'rich',
    'zmq.asyncio',
    'zmq.auth',
    'oleanderstair.domain.proof',
    'oleanderstair.emulator',
    'oleanderstair.ui',
}
ROOT = pathlib.Path(__file__).parent.parent


@pytest.fixture(scope='module')
def imported():
    shown = subprocess.run(
        [
            sys.executable,
            '-S',
            '-c',
            'import sys\n'
            'sys.path.extend(sys.argv[1:])\n'
            'import oleanderstair.platform.program\n'
            'print(sorted(sys.modules))',
            *site.getsitepackages(),
        ],
        capture_output=True,
        check=True,
        cwd=ROOT,
        text=True,
    ).stdout
    return set(ast.literal_eval(shown))


@pytest.mark.parametrize('name', sorted(LATER))
def test_start_imports_nothing_that_only_others_need(imported, name):
    assert 'oleanderstair.platform.node' in imported
    assert name not in imported


def test_start_writes_no_code_for_tables(imported):
    own = [
        importlib.import_module(name)
        for name in imported
        if name.startswith('oleanderstair')
    ]
    written = [
        found
        for module in own
        for found in inspect.getmembers(module, dataclasses.is_dataclass)
    ]
    assert not written


class Brief:
    """An instance that ends at once."""

    def __init__(self):
        self.collected = False

    async def run(self):
        """Note whether garbage is collected while an instance runs."""
        self.collected = gc.isenabled()

    def stop(self):
        """Do nothing."""


def test_garbage_is_collected_again_after_the_start(monkeypatch):
    monkeypatch.setattr(gc, 'freeze', lambda: None)
    monkeypatch.setattr(gc, 'set_threshold', lambda *_: None)
    instance = Brief()
    gc.disable()
    try:
        anyio.run(running.run, instance)
    finally:
        gc.enable()
    assert instance.collected


def test_start_reads_no_packages_of_the_machine():
    deployed = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    assert '-S' in deployed['roles']['entry']['run'].split()


def settings_for(path, **addresses):
    path.write_text(
        '// filled in\n{"callers": {"address": "%(callers)s"},'
        ' "platform": {"directory_address": "%(directory)s",}}' % addresses,
    )
    return path


def free_address():
    with contextlib.closing(listening.bind('127.0.0.1', 0)) as bound:
        return listening.address_of(bound)


def test_callers_that_come_while_the_program_is_imported_are_not_refused(
    tmp_path,
):
    address = free_address()
    path = settings_for(tmp_path / 's', callers=address, directory='')
    opened = early.open_listed(path)
    host, _, port = address.rpartition(':')
    with opened[address], socket.create_connection((host, int(port)), 1):
        assert list(opened) == [address]


def test_what_is_imported_before_the_listeners_open_is_little():
    shown = subprocess.run(
        [
            sys.executable,
            '-c',
            'import sys\n'
            'import oleanderstair.platform.daemon\n'
            'print(sorted(sys.modules))',
        ],
        capture_output=True,
        check=True,
        cwd=ROOT,
        text=True,
    ).stdout
    before = set(ast.literal_eval(shown))
    assert 'oleanderstair.platform.early' in before
    assert not before & {'anyio', 'asyncio', 'uvicorn', 'zmq'}


@pytest.mark.parametrize(
    'text',
    ['', '[]', '{"callers": 1}', '{"callers": {"address": "x:y"}}', '{'],
)
def test_wrong_settings_are_left_to_the_program(tmp_path, text):
    path = tmp_path / 's'
    path.write_text(text)
    assert not early.open_listed(path)


def test_an_address_in_use_is_left_to_the_program(tmp_path):
    with contextlib.closing(listening.bind('127.0.0.1', 0)) as bound:
        address = listening.address_of(bound)
        path = settings_for(tmp_path / 's', callers=address, directory='')
        assert not early.open_listed(path)
