"""The start of a node: which modules it imports, and garbage collection."""

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

NOT_IMPORTED = {
    'cappa',
    'certifi',
    'click',
    'configparser',
    'eliot',
    'email',
    'h11',
    'httpcore',
    'importlib.metadata',
    'importlib.resources',
    'json5',
    'logging.config',
    'logging.handlers',
    'multiprocessing',
    'rich',
    'tempfile',
    'uvicorn.main',
    'uvicorn.supervisors',
    'zmq.asyncio',
    'zmq.auth',
    'oleanderstair.domain.proof',
    'oleanderstair.emulator',
    'oleanderstair.domain.balancer',
    'oleanderstair.domain.calls.homes',
    'oleanderstair.domain.calls.key_epochs',
    'oleanderstair.domain.configuration.catalogues',
    'oleanderstair.domain.configuration.note_adoption',
    'oleanderstair.domain.configuration.notes',
    'oleanderstair.domain.fleet.heartbeats',
    'oleanderstair.domain.targets.ramps',
    'oleanderstair.engine.balancer_runtime',
    'oleanderstair.engine.caller_app',
    'oleanderstair.engine.node',
    'oleanderstair.explaining.reports',
    'oleanderstair.explaining.stories',
    'oleanderstair.ui',
}
ROOT = pathlib.Path(__file__).parent.parent


def run_program(program):
    """Run a program with the libraries, without the site module."""
    return subprocess.run(
        [
            sys.executable,
            '-S',
            '-c',
            f'import sys\nsys.path.extend(sys.argv[1:])\n{program}',
            *site.getsitepackages(),
        ],
        capture_output=True,
        check=True,
        cwd=ROOT,
        text=True,
    ).stdout


def find_imported(name):
    """Return all modules that the import of a module loads."""
    output = run_program(f'import {name}\nprint(sorted(sys.modules))')
    return set(ast.literal_eval(output))


@pytest.fixture(scope='module')
def imported():
    return find_imported('oleanderstair.platform.program')


# Guards against placeholders that other importers would get.
def test_parts_of_uvicorn_leave_no_placeholders():
    program = (
        'import oleanderstair.engine.listener\n'
        'import configparser, email.utils, logging.config\n'
        'configparser.ConfigParser()\n'
        'assert email.utils.formatdate(0)\n'
        'assert logging.config.dictConfig\n'
    )
    run_program(program)


@pytest.mark.parametrize('name', sorted(NOT_IMPORTED))
def test_start_does_not_import_unneeded_modules(imported, name):
    assert 'oleanderstair.platform.node' in imported
    assert name not in imported


def test_start_defines_no_dataclasses(imported):
    modules = [
        importlib.import_module(name)
        for name in imported
        if name.startswith('oleanderstair')
    ]
    dataclass_members = [
        found
        for module in modules
        for found in inspect.getmembers(module, dataclasses.is_dataclass)
    ]
    # Dataclasses generate code at import, which takes time at each start.
    assert not dataclass_members


class BriefInstance:
    """An instance that ends immediately."""

    def __init__(self):
        self.was_collecting = False

    async def run(self):
        """Record whether garbage collection is enabled during a run."""
        self.was_collecting = gc.isenabled()

    def stop(self):
        """Do nothing."""


def test_garbage_collection_is_enabled_after_the_start(monkeypatch):
    monkeypatch.setattr(gc, 'freeze', lambda: None)
    monkeypatch.setattr(gc, 'set_threshold', lambda *_: None)
    instance = BriefInstance()
    gc.disable()
    try:
        anyio.run(running.run_instance, instance)
    finally:
        gc.enable()
    assert instance.was_collecting


def test_deployed_instances_start_without_the_site_module():
    deployed = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    assert '-S' in deployed['roles']['entry']['run'].split()
