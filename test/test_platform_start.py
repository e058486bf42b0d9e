"""What a gateway imports before it listens, and that it then collects."""

import ast
import dataclasses
import gc
import importlib
import inspect
import pathlib
import site
import subprocess
import sys
import tomllib

import anyio
import pytest

from oleanderstair import running

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
