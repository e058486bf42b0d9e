"""Reloads of the settings file, and signals of a running daemon."""

import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import sys

import pytest

from oleanderstair import logs, reloading, settings

BASE = {'instance': {'id': 'a'}, 'peers': {'allow_plain': True}}


def with_policy(**limits):
    return json.dumps({**BASE, 'policy': limits})


@pytest.fixture
def reloads(tmp_path):
    path = tmp_path / 'settings.jsonc'
    path.write_text(with_policy(tick_ms=50))
    applied = []
    reloader = reloading.create(
        path,
        settings.load(path),
        lambda valid_settings, change, actor: applied.append(
            (valid_settings, change)
        ),
    )
    return path, reloader, applied


def test_changed_limit_is_applied_and_named(reloads):
    path, reloader, applied = reloads
    path.write_text(with_policy(tick_ms=80))
    reloader.reload('SIGHUP')
    valid_settings, change = applied[0]
    assert settings.policy_of(valid_settings).tick_ms == 80
    assert change.summary == 'changed: policy.tick_ms; after a restart: nothing'


def test_changed_address_waits_for_a_restart(reloads):
    path, reloader, applied = reloads
    path.write_text(json.dumps({**BASE, 'callers': {'port': 9}}))
    reloader.reload('SIGHUP')
    assert applied[0][1].restart_fields == ('callers.port',)


@pytest.mark.parametrize('text', ['{', '{"policy": {"tick_ms": 0}}', None])
def test_invalid_file_changes_nothing_and_logs_the_remedy(
    reloads,
    text,
    monkeypatch,
):
    path, reloader, applied = reloads
    logged = []
    monkeypatch.setattr(
        logs,
        'log_event',
        lambda kind, **fields: logged.append((kind, fields['why'])),
    )
    path.unlink()
    if text is not None:
        path.write_text(text)
    reloader.reload('SIGHUP')
    assert not applied
    assert logged[0][0] == 'settings-refused'
    assert '; ' in logged[0][1]


@pytest.mark.parametrize(
    'content',
    [
        b'{"instance": {"id": "\xff"}}',
        json.dumps({'instance': '\ud800'}).encode(),
        b'{"instance": %b' % (b'[' * 3000),
    ],
)
def test_undecodable_file_is_refused_and_ends_no_process(
    reloads, content, monkeypatch
):
    # The error ended the process, with all of its calls.
    path, reloader, applied = reloads
    logged = []
    monkeypatch.setattr(
        logs, 'log_event', lambda kind, **_: logged.append(kind)
    )
    path.write_bytes(content)
    reloader.reload('SIGHUP')
    assert not applied
    assert logged == ['settings-refused']


def test_error_of_a_reload_is_logged_and_ends_no_process(reloads, monkeypatch):
    def fail(*_):
        raise RuntimeError

    path, _, _ = reloads
    logged = []
    monkeypatch.setattr(
        logs, 'log_event', lambda kind, **_: logged.append(kind)
    )
    failing = reloading.create(path, settings.load(path), fail)
    failing.reload('SIGHUP')
    assert logged == ['fault']


def _free_address() -> str:
    with socket.create_server(('127.0.0.1', 0)) as bound:
        return '127.0.0.1:{0}'.format(bound.getsockname()[1])


@contextlib.contextmanager
def _daemon(path: pathlib.Path):
    daemon = subprocess.Popen(
        [sys.executable, '-m', 'oleanderstair.platform.daemon'],
        env={'OLEANDERSTAIR_CONFIG': str(path)},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        yield daemon
    finally:
        daemon.kill()
        daemon.communicate()


def _read_line_with(daemon: 'subprocess.Popen[str]', wanted: str) -> str:
    while True:
        line = daemon.stderr.readline()
        assert line, f'the daemon ended before it logged {wanted}'
        if wanted in line:
            return line


def test_sighup_reloads_and_a_second_sigterm_does_not_abort_a_stop(tmp_path):
    path = tmp_path / 'settings.jsonc'
    base_settings = {
        **BASE,
        'callers': {'address': _free_address()},
        'peers': {'address': _free_address(), 'allow_plain': True},
        'platform': {
            name: _free_address()
            for name in (
                'store_address',
                'directory_address',
                'readiness_address',
            )
        },
    }
    path.write_text(json.dumps(base_settings))
    with _daemon(path) as daemon:
        _read_line_with(daemon, 'event=started')
        path.write_text(
            json.dumps({**base_settings, 'policy': {'tick_ms': 90}})
        )
        daemon.send_signal(signal.SIGHUP)
        assert 'policy.tick_ms' in _read_line_with(daemon, 'settings-reloaded')
        path.write_text('{')
        daemon.send_signal(signal.SIGHUP)
        assert 'correct the JSON' in _read_line_with(daemon, 'settings-refused')
        daemon.send_signal(signal.SIGTERM)
        daemon.send_signal(signal.SIGTERM)
        assert daemon.wait(10) == 0


def test_invalid_file_at_start_exits_with_field_and_remedy(tmp_path):
    path = tmp_path / 'settings.jsonc'
    path.write_text(json.dumps({**BASE, 'callers': {'port': 'x'}}))
    with _daemon(path) as daemon:
        logged = daemon.stderr.read()
        assert daemon.wait(20) == 2
    assert 'callers.port' in logged
    assert 'correct or remove' in logged
