"""The commands that ask an instance's admin listener."""

import dataclasses
import typing

import cappa
import httpcore
import msgspec

from oleanderstair import errors
from oleanderstair.ui import output

Address: typing.TypeAlias = typing.Annotated[
    str,
    cappa.Arg(long='--admin', help='The admin address of an instance.'),
]
_DEFAULT_ADDRESS: typing.Final = '127.0.0.1:8081'


def fetch(address: str, report: str) -> typing.Any:
    """Return a report of the instance at ``address``.

    Raises ``errors.UserError`` where nothing answers there.
    """
    try:
        answer = httpcore.request('GET', f'http://{address}/{report}')
    except httpcore.ConnectError as error:
        raise errors.UserError(
            errors.Problem(
                errors.ProblemKind.CONNECTION,
                address,
                str(error),
                'name a running instance with --admin',
            ),
        ) from error
    return msgspec.json.decode(answer.content)


def show_status(command: 'Status') -> None:
    """Print what the instance says of itself."""
    status = fetch(command.admin, 'status')
    rows = [{'field': name, 'value': field} for name, field in status.items()]
    output.show([status] if command.json else rows, command.json)


def show_targets(command: 'Targets') -> None:
    """Print the targets and what the instance knows of them."""
    output.show(fetch(command.admin, 'targets'), command.json)


def show_instances(command: 'Instances') -> None:
    """Print the peers that the instance has heard."""
    output.show(fetch(command.admin, 'instances'), command.json)


def show_audit(command: 'Audit') -> None:
    """Print the audit trail."""
    output.show(fetch(command.admin, 'audit'), command.json)


def show_metrics(command: 'Metrics') -> None:
    """Print counters and percentiles."""
    metrics = fetch(command.admin, 'metrics')
    if command.json:
        output.show([metrics], as_json=True)
        return
    output.show(metrics['counters'], as_json=False)
    output.show(metrics['histograms'], as_json=False)


@cappa.command(name='status', invoke=show_status)
@dataclasses.dataclass
class Status:
    """Show the note in force and the state of an instance."""

    admin: Address = _DEFAULT_ADDRESS
    json: output.AsJson = False


@cappa.command(name='targets', invoke=show_targets)
@dataclasses.dataclass
class Targets:
    """Show the targets and what is known of each."""

    admin: Address = _DEFAULT_ADDRESS
    json: output.AsJson = False


@cappa.command(name='instances', invoke=show_instances)
@dataclasses.dataclass
class Instances:
    """Show the entry instances that were heard."""

    admin: Address = _DEFAULT_ADDRESS
    json: output.AsJson = False


@cappa.command(name='audit', invoke=show_audit)
@dataclasses.dataclass
class Audit:
    """Show who or what changed what, when and why."""

    admin: Address = _DEFAULT_ADDRESS
    json: output.AsJson = False


@cappa.command(name='metrics', invoke=show_metrics)
@dataclasses.dataclass
class Metrics:
    """Show counters and latency percentiles."""

    admin: Address = _DEFAULT_ADDRESS
    json: output.AsJson = False
