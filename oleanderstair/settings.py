"""Loads and checks settings: the user's file merged over the defaults."""

import pathlib
import re
import typing

import msgspec
import zmq

from oleanderstair import errors, jsonc
from oleanderstair.domain import policy

DEFAULTS_FILE_NAME: typing.Final = 'default_settings.jsonc'

CALL_CPU_MS: typing.Final = 2
"""The CPU time of a call with its load reads; see docs/CAPACITY.md."""

CALL_BYTES: typing.Final = 50_000
"""The traffic of a call on the link, in both directions together. A large
download has ten times as much."""

_MS_PER_S: typing.Final = 1000
_BYTES_PER_S_IN_MBPS: typing.Final = 125_000
_HIGHEST_PORT: typing.Final = 65535
_PORT = typing.Annotated[int, msgspec.Meta(ge=0, le=_HIGHEST_PORT)]
_COUNT = typing.Annotated[int, msgspec.Meta(ge=0)]
_POSITIVE = typing.Annotated[int, msgspec.Meta(ge=1)]
_SHARE = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
_POSITIVE_FLOAT = typing.Annotated[float, msgspec.Meta(gt=0)]
_NON_NEGATIVE = typing.Annotated[float, msgspec.Meta(ge=0)]
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
    """The machine's resources that are available to the instance."""

    cpu_share: _POSITIVE_FLOAT
    cores: _POSITIVE_FLOAT
    link_mbps: _POSITIVE_FLOAT
    memory_mb: _NON_NEGATIVE
    max_descriptors: _COUNT


class InstanceSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The id and location of the instance, and its machine's capacity.

    ``regions`` holds the region of each data centre.
    """

    id: _NAME
    region: _NAME
    data_centre: _NAME
    regions: dict[str, str]
    capacity: CapacitySettings


class CallerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The listener for callers, and the bounds of requests and answers."""

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
    """The listener for operators, and the address of the metrics as text."""

    host: _HOST
    port: _PORT
    metrics_address: _ADDRESS


class PeerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The listener for peers, seed peers and the fleet's CURVE key pair."""

    host: _HOST
    port: _PORT
    address: _ADDRESS
    seeds: list[_ADDRESS]
    public_key: _KEY
    secret_key: _KEY
    allow_plain: bool


class PlatformSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The platform's addresses, and the listeners for its requests."""

    configuration_url: _URL
    instances_url: _URL
    store_address: _ADDRESS
    directory_address: _ADDRESS
    readiness_address: _ADDRESS
    terms: list[str]


class LogSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The destination of log lines."""

    to: typing.Literal['stderr', 'none']


class TraceSettings(msgspec.Struct, forbid_unknown_fields=True):
    """How many events are kept in memory for replay; 0 disables traces."""

    max_events: _COUNT


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """All settings of an instance, after the checks."""

    instance: InstanceSettings
    callers: CallerSettings
    admin: AdminSettings
    peers: PeerSettings
    platform: PlatformSettings
    log: LogSettings
    trace: TraceSettings
    policy: Tree


def _policy_field_of(name: str, kind: type) -> tuple[str, typing.Any]:
    if name == 'choice':
        return name, typing.Literal[policy.TARGET_CHOICES]
    if kind is int:
        # A duration may be 0 only if its default is 0.
        is_positive = (
            name.endswith('_ms') and policy.Policy._field_defaults[name]
        )
        return name, _POSITIVE if is_positive else _COUNT
    if kind is float:
        return name, _float_type_of(name)
    return name, kind


def _float_type_of(name: str) -> typing.Any:
    if name.endswith('_share'):
        return _SHARE
    return _POSITIVE_FLOAT if name.endswith('_s') else _NON_NEGATIVE


_POLICY_STRUCT: typing.Final = msgspec.defstruct(
    'PolicyEntry',
    [
        (*_policy_field_of(name, kind), policy.Policy._field_defaults[name])
        for name, kind in typing.get_type_hints(policy.Policy).items()
    ],
    forbid_unknown_fields=True,
)


def load(path: pathlib.Path) -> Settings:
    """Load the settings file at ``path``, merged over the defaults.

    Raise ``errors.UserError`` with the field and a remedy if it is invalid.
    """
    overlay = _read_file(path)
    try:
        return build(overlay)
    except UnicodeEncodeError as error:
        raise _settings_error(
            str(path), str(error), 'remove lone surrogates'
        ) from error


def build(overlay: Tree) -> Settings:
    """Merge ``overlay`` over the defaults and check the result.

    Raise ``errors.UserError`` with the field and a remedy if it is invalid.
    """
    merged = _merge(load_defaults(), overlay)
    try:
        valid_settings = msgspec.convert(merged, Settings)
    except msgspec.ValidationError as error:
        raise _validation_error(str(error), '') from error
    try:
        entry = msgspec.convert(valid_settings.policy, _POLICY_STRUCT)
    except msgspec.ValidationError as policy_error:
        raise _validation_error(str(policy_error), 'policy') from policy_error
    valid_settings.policy = msgspec.structs.asdict(entry)
    _check_keys(valid_settings.peers)
    return valid_settings


def capacity_of(valid_settings: Settings) -> int:
    """Return how many calls per second an instance can handle, at least 1.

    This is the lower of the limits by the processor and by the link.
    """
    machine = valid_settings.instance.capacity
    cores = machine.cpu_share * machine.cores
    max_by_cpu = cores * _MS_PER_S / CALL_CPU_MS
    max_by_link = machine.link_mbps * _BYTES_PER_S_IN_MBPS / CALL_BYTES
    return max(int(min(max_by_cpu, max_by_link)), 1)


def policy_of(valid_settings: Settings) -> policy.Policy:
    """Return the policy section as the limits of the decision code."""
    return policy.Policy(**valid_settings.policy)


def load_defaults() -> Tree:
    """Load the default settings from the package."""
    path = pathlib.Path(__file__).with_name(DEFAULTS_FILE_NAME)
    text = path.read_text(encoding='utf-8')
    return typing.cast(Tree, jsonc.loads(text))


def as_tree(valid_settings: Settings) -> Tree:
    """Return the settings as a tree, with 'set' in place of a secret key."""
    tree: Tree = msgspec.to_builtins(valid_settings)
    tree['peers']['secret_key'] = (
        'set' if valid_settings.peers.secret_key else ''
    )
    return tree


def _check_keys(peers: PeerSettings) -> None:
    if bool(peers.public_key) != bool(peers.secret_key):
        missing = 'secret_key' if peers.public_key else 'public_key'
        raise _settings_error(
            f'peers.{missing}',
            'one key of the pair is missing',
            'give both keys or neither',
        )
    if not peers.public_key and not peers.allow_plain:
        raise _settings_error(
            'peers.public_key',
            'peers would not be authenticated',
            'set the pair of `oleanderstair keys make`, or allow_plain',
        )
    if peers.secret_key and not _is_key_pair(peers):
        raise _settings_error(
            'peers.public_key',
            'is not the public key of secret_key',
            'give both keys of one pair',
        )


def _is_key_pair(peers: PeerSettings) -> bool:
    derived: bytes = zmq.curve_public(peers.secret_key.encode())
    return derived == peers.public_key.encode()


def _read_file(path: pathlib.Path) -> Tree:
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        raise _settings_error(
            str(path), str(error), 'name a file that can be read'
        ) from error
    except UnicodeDecodeError as encoding_error:
        raise _settings_error(
            str(path), str(encoding_error), 'save the file as UTF-8'
        ) from encoding_error
    try:
        tree = jsonc.loads(text)
    except (ValueError, RecursionError) as syntax_error:
        raise _settings_error(
            str(path),
            str(syntax_error),
            'correct the JSON',
        ) from syntax_error
    if not isinstance(tree, dict):
        raise _settings_error(
            str(path), 'not an object', 'start the file with {'
        )
    return tree


def _merge(base: Tree, overlay: Tree) -> Tree:
    merged = dict(base)
    for name, entry in overlay.items():
        base_section = base.get(name)
        if isinstance(base_section, dict) and isinstance(entry, dict):
            merged[name] = _merge(base_section, entry)
        else:
            merged[name] = entry
    return merged


def _validation_error(text: str, section: str) -> errors.UserError:
    matched = _FIELD_IN_ERROR.match(text)
    what, field = matched.groups() if matched else (text, '')
    where = '.'.join(part for part in (section, field) if part)
    remedy = 'correct or remove this field'
    for pattern, advice in _REMEDY_BY_PATTERN.items():
        if pattern in what:
            remedy = advice
    return _settings_error(where or 'the file', what, remedy)


def _settings_error(where: str, what: str, remedy: str) -> errors.UserError:
    return errors.UserError(
        errors.Problem(errors.ProblemKind.SETTINGS, where, what, remedy),
    )
