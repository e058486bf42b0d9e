"""Settings: commented defaults, overlaid by the user's file, checked."""

import importlib.resources
import pathlib
import re
import typing

import json5
import msgspec

from oleanderstair import errors
from oleanderstair.domain import policy

DEFAULTS_NAME: typing.Final = 'default_settings.jsonc'

_HIGHEST_PORT: typing.Final = 65535
_PORT = typing.Annotated[int, msgspec.Meta(ge=0, le=_HIGHEST_PORT)]
_COUNT = typing.Annotated[int, msgspec.Meta(ge=0)]
_SHARE = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
_NAME = typing.Annotated[
    str,
    msgspec.Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$'),
]
_FIELD_IN_ERROR: typing.Final = re.compile(r'^(.*) - at `\$\.?(.*)`$')

Tree: typing.TypeAlias = dict[str, typing.Any]


class InstanceSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The name and place of the instance."""

    id: _NAME
    region: _NAME
    data_centre: _NAME


class CallerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The listener for callers and the bounds of a request."""

    host: str
    port: _PORT
    advertise: str
    max_body_bytes: _COUNT
    max_header_bytes: _COUNT
    request_time_ms: _COUNT


class AdminSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The listener for operators."""

    host: str
    port: _PORT


class PeerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The listener for peers and the fleet's CURVE key pair."""

    host: str
    port: _PORT
    public_key: str
    secret_key: str
    allow_plain: bool


class PlatformSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Where the platform publishes notes and the instance list."""

    configuration_url: str
    instances_url: str


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
    if kind is int:
        return name, _COUNT
    if kind is float:
        return name, _SHARE
    return name, kind


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
    return checked


def limits_of(checked: Settings) -> policy.Policy:
    """Return the limits of the decision code."""
    return policy.Policy(**checked.policy)


def defaults() -> Tree:
    """Return the defaults that ship with the package."""
    package = importlib.resources.files('oleanderstair')
    text = (package / DEFAULTS_NAME).read_text(encoding='utf-8')
    return typing.cast(Tree, json5.loads(text))


def _read_file(path: pathlib.Path) -> Tree:
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        raise _problem(str(path), str(error), 'name a file') from error
    try:
        tree = json5.loads(text)
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
    return _problem(where or 'the file', what, 'correct or remove this field')


def _problem(where: str, what: str, remedy: str) -> errors.UserError:
    return errors.UserError(
        errors.Problem(errors.ProblemKind.SETTINGS, where, what, remedy),
    )
