"""Starts instances of the project as the deploy file does.

The settings are deploy/settings.jsonc, filled in as DEPLOY.md says.
"""

import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tomllib
import typing

ROOT = pathlib.Path(__file__).resolve().parents[2]

_TAG = re.compile(r'\{\{([#^/]?)([^}|]+)(\|json)?\}\}')
_PASSED_ON = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')


def free_port(host: str) -> int:
    """Return a port of ``host`` that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Machine(typing.NamedTuple):
    """A machine of the class ``edge``: what the platform says of it."""

    name: str
    host: str
    zone: str
    zones: dict[str, str]
    memory_mb: int = 257
    grace_s: float = 6


class Instance:
    """One process of the deploy file's role on a machine."""

    def __init__(self, machine: Machine, folder: pathlib.Path) -> None:
        """Choose its addresses; ``start`` starts it."""
        self.machine = machine
        host = machine.host
        self.front = f'{host}:{free_port(host)}'
        self.control = f'{host}:{free_port(host)}'
        self.directory = f'{host}:{free_port(host)}'
        self.readiness = f'{host}:{free_port(host)}'
        self.process: subprocess.Popen | None = None
        self.starts = 0
        self._settings = folder / f'{machine.name}.json'
        self._log = folder / f'{machine.name}.log'

    def configure(self, store_address: str, seeds: list[str]) -> None:
        """Write the settings file."""
        template = (ROOT / 'deploy/settings.jsonc').read_text()
        fields = self._fields(store_address, seeds)
        self._settings.write_text(render(template, [fields]))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        environment = {
            name: os.environ[name] for name in _PASSED_ON if name in os.environ
        }
        environment['OLEANDERSTAIR_CONFIG'] = str(self._settings)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        self.starts += 1
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                deploy['roles']['entry']['run'].split(' '),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def anonymous_mb(self) -> float:
        """Return its resident memory without mapped files, in MB of 2^20."""
        try:
            status = pathlib.Path(
                f'/proc/{self.process.pid}/status'
            ).read_text()
        except OSError:
            return 0
        found = re.search(r'RssAnon:\s+(\d+) kB', status)
        return int(found[1]) / 1024 if found else 0

    def log_lines(self, word: str) -> list[str]:
        """Return the lines of its log that hold ``word``."""
        if not self._log.exists():
            return []
        lines = self._log.read_text(errors='replace').splitlines()
        return [line for line in lines if word in line]

    def _fields(self, store_address: str, seeds: list[str]) -> dict:
        machine = self.machine
        return {
            'NodeName': machine.name,
            'Role': 'entry',
            'NodeClass': 'edge',
            'Serves': ['edge', 'control', 'directory'],
            'Ip': machine.host,
            'data_centre': machine.zone,
            'Region': machine.zones[machine.zone],
            'Zones': machine.zones,
            'Listen': {
                'Front': self.front,
                'Readiness': self.readiness,
                'Control': self.control,
                'Directory': self.directory,
            },
            'Seeds': seeds,
            'Bootstrap': False,
            'limits': {
                'CpuShare': 0.731,
                'Cores': 1,
                'MemoryMb': machine.memory_mb,
                'MaxFds': 3417,
                'LinkMbps': 830.0,
                'DiskMb': 0,
            },
            'Contracts': [
                'base', 'drain', 'config', 'cost', 'retry', 'recover',
                'health', 'platform',
            ],
            'Bounds': {
                'GraceS': machine.grace_s,
                'RetryBudgetRatio': 0.2,
                'BudgetWindowS': 10,
                'BudgetSlack': 75,
                'ProbesPerS': 60,
            },
            'Platform': {'address': store_address},
        }


def render(template: str, scopes: list[object]) -> str:
    """Fill in a template as DEPLOY.md says."""
    done = []
    at = 0
    while (tag := _TAG.search(template, at)) is not None:
        done.append(template[at : tag.start()])
        at = tag.end()
        kind, name, as_json = tag.groups()
        found = _find(name, scopes)
        if not kind:
            done.append(_write(found, bool(as_json)))
            continue
        end = template.index('{{/' + name + '}}', at)
        inner = template[at:end]
        at = end + len(name) + 5
        if kind == '^':
            is_shown = found is None or found is False
            done.append(render(inner, scopes) if is_shown else '')
        elif found is not None and found is not False:
            entries = found if isinstance(found, list) else [found]
            done.extend(render(inner, [entry, *scopes]) for entry in entries)
    return ''.join([*done, template[at:]])


def _find(name: str, scopes: list[object]) -> typing.Any:
    if name == '.':
        return scopes[0]
    for scope in scopes:
        found = scope
        for part in name.split('.'):
            if isinstance(found, dict):
                found = found.get(part)
            elif isinstance(found, list) and part.isdigit():
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = None
        if found is not None:
            return found
    return None


def _write(found: object, as_json: bool) -> str:
    if as_json or isinstance(found, dict | bool):
        return json.dumps(found)
    if isinstance(found, list):
        return ','.join(map(str, found))
    return '' if found is None else str(found)
