"""The commands that ask the admin listeners of instances."""

import dataclasses
import datetime
import typing
import urllib.parse

import cappa
import httpcore
import msgspec

from oleanderstair import errors
from oleanderstair.ui import output

DEFAULT_ADDRESS: typing.Final = '127.0.0.1:8081'
_BOUND_S: typing.Final = 2
_OK: typing.Final = 200
_SHOWN_IN_STATUS: typing.Final = (
    'instance',
    'data_centre',
    'phase',
    'note',
    'standing',
    'lowest',
    'highest',
    'behind',
    'silent',
    'heard',
    'listed',
    'calls_in_flight',
)

Address: typing.TypeAlias = typing.Annotated[
    str,
    cappa.Arg(
        long='--admin',
        help='The admin address of an instance, as host:port.',
    ),
]
Addresses: typing.TypeAlias = typing.Annotated[
    list[str],
    cappa.Arg(
        long='--admin',
        help='An admin address, as host:port; give it once per instance.',
    ),
]


def fetch(address: str, report: str) -> typing.Any:
    """Return a report of the instance at ``address``.

    Raises ``errors.UserError`` where no instance answers there in time.
    """
    limits = dict.fromkeys(('connect', 'read', 'write', 'pool'), _BOUND_S)
    try:
        answer = httpcore.request(
            'GET',
            f'http://{address}/{report}',
            extensions={'timeout': limits},
        )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        raise _unreachable(address, str(error) or repr(error)) from error
    if answer.status != _OK:
        raise _unreachable(address, f'it answered with status {answer.status}')
    try:
        return msgspec.json.decode(answer.content)
    except msgspec.DecodeError as malformed:
        raise _unreachable(address, str(malformed)) from malformed


def show_status(command: 'Status') -> None:
    """Print what each instance says of itself; exit 1 unless all serve."""
    reports = [
        _status_of(address) for address in command.admin or [DEFAULT_ADDRESS]
    ]
    if command.json:
        output.show(reports, as_json=True)
    else:
        _print_status(reports)
    if any(report['phase'] in _NOT_SERVING for report in reports):
        raise SystemExit(output.EXIT_NO)


def show_targets(command: 'Targets') -> None:
    """Print the targets and what the instance knows of them."""
    rows = fetch(command.admin, 'targets')
    output.show(rows, command.json, left_out=('known',))


def show_instances(command: 'Instances') -> None:
    """Print the instances that this one has heard of."""
    output.show(fetch(command.admin, 'instances'), command.json)


def show_audit(command: 'Audit') -> None:
    """Print the audit trail, oldest first."""
    entries = fetch(command.admin, 'audit')
    if not command.json:
        for entry in entries:
            at = datetime.datetime.fromtimestamp(entry['at'], datetime.UTC)
            entry['at'] = at.isoformat(timespec='milliseconds')
    output.show(entries, command.json)


def show_metrics(command: 'Metrics') -> None:
    """Print counters and percentiles."""
    metrics = fetch(command.admin, 'metrics')
    if command.json:
        output.show([metrics], as_json=True)
        return
    output.show(metrics['counters'], as_json=False)
    output.show(metrics['histograms'], as_json=False)


def show_placement(command: 'Where') -> None:
    """Print where a request would go; exit 1 if it would be refused."""
    query = urllib.parse.urlencode({'host': command.host, 'path': command.path})
    placement = fetch(command.admin, f'where?{query}')
    if command.json:
        output.show([placement], as_json=True)
    else:
        _print_placement(placement)
    if placement['refused_by']:
        raise SystemExit(output.EXIT_NO)


@cappa.command(name='status', invoke=show_status)
@dataclasses.dataclass
class Status:
    """Show the note in force and the state of instances.

    Exits with 1 where an instance cannot be reached or is unconfirmed.
    """

    admin: Addresses = dataclasses.field(default_factory=list)
    json: output.AsJson = False


@cappa.command(name='targets', invoke=show_targets)
@dataclasses.dataclass
class Targets:
    """Show the targets and what one instance knows of each."""

    admin: Address = DEFAULT_ADDRESS
    json: output.AsJson = False


@cappa.command(name='instances', invoke=show_instances)
@dataclasses.dataclass
class Instances:
    """Show the entry instances that one of them has heard of."""

    admin: Address = DEFAULT_ADDRESS
    json: output.AsJson = False


@cappa.command(name='audit', invoke=show_audit)
@dataclasses.dataclass
class Audit:
    """Show who or what changed what, when and why."""

    admin: Address = DEFAULT_ADDRESS
    json: output.AsJson = False


@cappa.command(name='metrics', invoke=show_metrics)
@dataclasses.dataclass
class Metrics:
    """Show counters and latency percentiles of one instance."""

    admin: Address = DEFAULT_ADDRESS
    json: output.AsJson = False


@cappa.command(name='where', invoke=show_placement)
@dataclasses.dataclass
class Where:
    """Show where a gateway would send a request now, without sending it.

    Exits with 1 where the request would be refused.
    """

    host: typing.Annotated[str, cappa.Arg(help='The host of the request.')]
    path: typing.Annotated[str, cappa.Arg(help='The path of the request.')]
    admin: typing.Annotated[
        str,
        cappa.Arg(
            long='--admin',
            help='The address of the metrics of a gateway, as host:port.',
        ),
    ] = DEFAULT_ADDRESS
    json: output.AsJson = False


def _print_placement(placement: dict[str, typing.Any]) -> None:
    services = placement.pop('services')
    output.show([placement], as_json=False)
    for service in services:
        targets = service.pop('targets')
        output.line('')
        output.show([service], as_json=False)
        output.show(targets, as_json=False)


def _status_of(address: str) -> dict[str, typing.Any]:
    try:
        report: dict[str, typing.Any] = fetch(address, 'status')
    except errors.UserError as error:
        blank = dict.fromkeys(_SHOWN_IN_STATUS, '')
        return {
            **blank,
            'instance': address,
            'phase': 'unreachable',
            'waits_for': error.problem.message,
        }
    return report


def _print_status(reports: list[dict[str, typing.Any]]) -> None:
    output.show(
        [
            {name: report[name] for name in _SHOWN_IN_STATUS}
            for report in reports
        ],
        as_json=False,
    )
    for report in reports:
        if report['waits_for']:
            output.line(f'{report["instance"]}: {report["waits_for"]}')


def _unreachable(address: str, what: str) -> errors.UserError:
    return errors.UserError(
        errors.Problem(
            errors.ProblemKind.CONNECTION,
            address,
            what,
            'name the admin address of a running instance with --admin',
        ),
    )


_NOT_SERVING: typing.Final = frozenset(('unreachable', 'unconfirmed'))
