"""Settings: commented defaults, overlaid by the user's file, checked."""

import pathlib
import re
import typing

import msgspec
import zmq

from oleanderstair import errors, jsonc
from oleanderstair.domain import policy

DEFAULTS_NAME: typing.Final = 'default_settings.jsonc'

CALL_PROCESSOR_MS: typing.Final = 2
"""What a call takes of a core, its load reads included; docs/CAPACITY.md."""

CALL_BYTES: typing.Final = 50_000
"""What a call brings to a link and takes from it; a large download has ten
times as many."""

_MS_PER_S: typing.Final = 1000
_BYTES_PER_S_IN_MBPS: typing.Final = 125_000
_HIGHEST_PORT: typing.Final = 65535
_PORT = typing.Annotated[int, msgspec.Meta(ge=0, le=_HIGHEST_PORT)]
_COUNT = typing.Annotated[int, msgspec.Meta(ge=0)]
_POSITIVE = typing.Annotated[int, msgspec.Meta(ge=1)]
_SHARE = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
_SPAN_S = typing.Annotated[float, msgspec.Meta(gt=0)]
_AMOUNT = typing.Annotated[float, msgspec.Meta(ge=0)]
_NAME = typing.Annotated[
    str,
    msgspec.Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$'),
]
_FIELD_IN_ERROR: typing.Final = re.compile(r'^(.*) - at `\$\.?(.*)`$')

_HOST_PATTERN: typing.Final = r'^(\d{1,3}\.){3}\d{1,3}$'
_HOST = typing.Annotated[str, msgspec.Meta(pattern=_HOST_PATTERN)]
_ADDRESS = typing.Annotated[
    str,
    msgspec.Meta(pattern=r'^([A-Za-z0-9.-]+:\d{1,5})?$'),
]
_URL = typing.Annotated[
    str,
    msgspec.Meta(pattern=r'^http://[A-Za-z0-9.-]+(:\d{1,5})?(/\S*)?$'),
]
# Z85, the text form of CURVE keys, writes 32 bytes as 40 characters.
_KEY = typing.Annotated[
    str,
    msgspec.Meta(pattern=r'^([0-9a-zA-Z.:+=^!/*?&<>()\[\]{}@%$#-]{40})?$'),
]
_REMEDY_BY_PATTERN: typing.Final = {
    _HOST_PATTERN: 'write an IPv4 address, such as 127.0.0.1',
}

Tree: typing.TypeAlias = dict[str, typing.Any]


class CapacitySettings(msgspec.Struct, forbid_unknown_fields=True):
    """What the machine gives the instance."""

    cpu_share: _SPAN_S
    cores: _SPAN_S
    link_mbps: _SPAN_S


class InstanceSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The name and place of the instance, and its machine."""

    id: _NAME
    region: _NAME
    data_centre: _NAME
    capacity: CapacitySettings


class CallerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The listener for callers and the bounds of a request."""

    host: _HOST
    port: _PORT
    address: _ADDRESS
    advertise: _ADDRESS
    max_body_bytes: _COUNT
    max_header_bytes: _POSITIVE
    request_time_ms: _POSITIVE
    idle_ms: _POSITIVE
    answer_time_ms: _POSITIVE
    max_answer_bytes: _POSITIVE
    max_connections: _POSITIVE


class AdminSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The listener for operators, and where metrics are read as text."""

    host: _HOST
    port: _PORT
    metrics_address: _ADDRESS


class PeerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The listener for peers and the fleet's CURVE key pair."""

    host: _HOST
    port: _PORT
    address: _ADDRESS
    seeds: list[_ADDRESS]
    public_key: _KEY
    secret_key: _KEY
    allow_plain: bool


class PlatformSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Where the platform publishes, and where it asks this instance."""

    configuration_url: _URL
    instances_url: _URL
    store_address: _ADDRESS
    directory_address: _ADDRESS
    readiness_address: _ADDRESS


class LogSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Where log lines go."""

    to: typing.Literal['stderr', 'none']


class TraceSettings(msgspec.Struct, forbid_unknown_fields=True):
    """How many events are kept in memory for replay; 0 keeps none."""

    max_events: _COUNT


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """All settings of an instance, checked."""

    instance: InstanceSettings
    callers: CallerSettings
    admin: AdminSettings
    peers: PeerSettings
    platform: PlatformSettings
    log: LogSettings
    trace: TraceSettings
    policy: Tree


def _policy_field(name: str, kind: type) -> tuple[str, typing.Any]:
    if name == 'choice':
        return name, typing.Literal[policy.CHOICES]
    if kind is int:
        is_span = name.endswith('_ms') and policy.Policy._field_defaults[name]
        return name, _POSITIVE if is_span else _COUNT
    if kind is float:
        return name, _float_field(name)
    return name, kind


def _float_field(name: str) -> typing.Any:
    if name.endswith('_share'):
        return _SHARE
    return _SPAN_S if name.endswith('_s') else _AMOUNT


_POLICY_ENTRY: typing.Final = msgspec.defstruct(
    'PolicyEntry',
    [
        (*_policy_field(name, kind), policy.Policy._field_defaults[name])
        for name, kind in typing.get_type_hints(policy.Policy).items()
    ],
    forbid_unknown_fields=True,
)


def load(path: pathlib.Path) -> Settings:
    """Read the file at ``path`` over the defaults.

    Raises ``errors.UserError`` naming the field and the remedy.
    """
    return build(_read_file(path))


def build(overlay: Tree) -> Settings:
    """Check ``overlay`` over the defaults.

    Raises ``errors.UserError`` naming the field and the remedy.
    """
    merged = _overlay(defaults(), overlay)
    try:
        checked = msgspec.convert(merged, Settings)
    except msgspec.ValidationError as error:
        raise _user_error(str(error), '') from error
    try:
        entry = msgspec.convert(checked.policy, _POLICY_ENTRY)
    except msgspec.ValidationError as policy_error:
        raise _user_error(str(policy_error), 'policy') from policy_error
    checked.policy = msgspec.structs.asdict(entry)
    _check_keys(checked.peers)
    return checked


def capacity_of(checked: Settings) -> int:
    """Return how many calls a second an instance can carry, at least 1.

    By its processor or by its link, whichever is less.
    """
    machine = checked.instance.capacity
    cores = machine.cpu_share * machine.cores
    by_processor = cores * _MS_PER_S / CALL_PROCESSOR_MS
    by_link = machine.link_mbps * _BYTES_PER_S_IN_MBPS / CALL_BYTES
    return max(int(min(by_processor, by_link)), 1)


def limits_of(checked: Settings) -> policy.Policy:
    """Return the limits of the decision code."""
    return policy.Policy(**checked.policy)


def defaults() -> Tree:
    """Return the defaults that ship with the package."""
    shipped = pathlib.Path(__file__).with_name(DEFAULTS_NAME)
    text = shipped.read_text(encoding='utf-8')
    return typing.cast(Tree, jsonc.loads(text))


def as_tree(checked: Settings) -> Tree:
    """Return the effective settings, the secret key left out."""
    tree: Tree = msgspec.to_builtins(checked)
    tree['peers']['secret_key'] = 'set' if checked.peers.secret_key else ''
    return tree


def _check_keys(peers: PeerSettings) -> None:
    if bool(peers.public_key) != bool(peers.secret_key):
        missing = 'secret_key' if peers.public_key else 'public_key'
        raise _problem(
            f'peers.{missing}',
            'one key of the pair is missing',
            'give both keys or neither',
        )
    if not peers.public_key and not peers.allow_plain:
        raise _problem(
            'peers.public_key',
            'peers would not be authenticated',
            'set the pair of `oleanderstair keys make`, or allow_plain',
        )
    if peers.secret_key and not _is_pair(peers):
        raise _problem(
            'peers.public_key',
            'is not the public key of secret_key',
            'give both keys of one pair',
        )


def _is_pair(peers: PeerSettings) -> bool:
    derived: bytes = zmq.curve_public(peers.secret_key.encode())
    return derived == peers.public_key.encode()


def _read_file(path: pathlib.Path) -> Tree:
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        raise _problem(str(path), str(error), 'name a file') from error
    try:
        tree = jsonc.loads(text)
    except ValueError as syntax_error:
        raise _problem(
            str(path),
            str(syntax_error),
            'correct the JSON',
        ) from syntax_error
    if not isinstance(tree, dict):
        raise _problem(str(path), 'not an object', 'start the file with {')
    return tree


def _overlay(base: Tree, over: Tree) -> Tree:
    merged = dict(base)
    for name, entry in over.items():
        below = base.get(name)
        if isinstance(below, dict) and isinstance(entry, dict):
            merged[name] = _overlay(below, entry)
        else:
            merged[name] = entry
    return merged


def _user_error(text: str, section: str) -> errors.UserError:
    found = _FIELD_IN_ERROR.match(text)
    what, field = found.groups() if found else (text, '')
    where = '.'.join(part for part in (section, field) if part)
    remedy = 'correct or remove this field'
    for pattern, advice in _REMEDY_BY_PATTERN.items():
        if pattern in what:
            remedy = advice
    return _problem(where or 'the file', what, remedy)


def _problem(where: str, what: str, remedy: str) -> errors.UserError:
    return errors.UserError(
        errors.Problem(errors.ProblemKind.SETTINGS, where, what, remedy),
    )
