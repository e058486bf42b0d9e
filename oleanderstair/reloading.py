"""Reloads the settings file of a running instance and reports the changes.

The file is reloaded on request, and when its content has changed. A file that
is unreadable or invalid changes nothing.
"""

import pathlib
import typing

import anyio

from oleanderstair import clock, errors, logs, settings

CHECK_INTERVAL_MS: typing.Final = 2000
"""How often the file's content is checked for a change."""

_LIVE_SECTIONS: typing.Final = ('policy',)
"""The sections whose fields all take effect without a restart."""

_LIVE_FIELDS: typing.Final = frozenset(
    (
        'callers.max_answer_bytes',
        'callers.max_connections',
        'callers.answer_time_ms',
    ),
)
"""The fields of other sections that take effect without a restart."""

_NOTHING: typing.Final = 'nothing'


class Change(typing.NamedTuple):
    """The names of the changed fields.

    Those in ``live_fields`` take effect at once, the others after a restart.
    """

    live_fields: tuple[str, ...]
    restart_fields: tuple[str, ...]

    @property
    def summary(self) -> str:
        """Return both lists on one line, for logs and the audit trail."""
        live = ' '.join(self.live_fields) or _NOTHING
        after_restart = ' '.join(self.restart_fields) or _NOTHING
        return f'changed: {live}; after a restart: {after_restart}'


ApplyChange: typing.TypeAlias = typing.Callable[
    [settings.Settings, Change, str],
    None,
]


class Reloader:
    """Loads a settings file again and applies the fields that changed."""

    def __init__(
        self,
        path: pathlib.Path,
        valid_settings: settings.Settings,
        apply: ApplyChange,
    ) -> None:
        """Use the file at ``path``, from which ``valid_settings`` were loaded.

        ``apply`` is called after each valid reload with the new settings, the
        changed fields and the actor.
        """
        self._path = path
        self._current_settings = valid_settings
        self._apply = apply
        self._last_content = _content_of(path)

    def reload(self, actor: str) -> None:
        """Read the file and apply it; log the problem if it is invalid.

        ``actor`` is the cause for the log and the audit trail, such as SIGHUP.
        """
        self._last_content = _content_of(self._path)
        try:
            self._load_and_apply(actor)
        except errors.UserError as error:
            logs.log_event('settings-refused', actor=actor, why=str(error))
        except Exception as fault:
            # Raised further, it would end the process and the calls in it.
            logs.log_event('fault', where='reload', cause=repr(fault))

    def _load_and_apply(self, actor: str) -> None:
        valid_settings = settings.load(self._path)
        change = compare_settings(self._current_settings, valid_settings)
        self._current_settings = valid_settings
        self._apply(valid_settings, change, actor)

    async def watch(self) -> None:
        """Reload the file whenever its content changes, until cancelled."""
        while True:
            await anyio.sleep(clock.to_seconds(CHECK_INTERVAL_MS))
            if _content_of(self._path) != self._last_content:
                self.reload('file')


def compare_settings(
    older: settings.Settings, newer: settings.Settings
) -> Change:
    """Return the fields that differ between two versions of the settings."""
    before = _flatten(settings.as_tree(older))
    after = _flatten(settings.as_tree(newer))
    changed = sorted(name for name in after if before.get(name) != after[name])
    return Change(
        tuple(name for name in changed if _applies_live(name)),
        tuple(name for name in changed if not _applies_live(name)),
    )


def create(
    path: pathlib.Path,
    valid_settings: settings.Settings,
    apply: ApplyChange,
) -> Reloader:
    """Create a reloader of the file that ``valid_settings`` was loaded from."""
    return Reloader(path, valid_settings, apply)


def _content_of(path: pathlib.Path) -> bytes:
    """Return the file's content, or the error as bytes if unreadable."""
    try:
        return path.read_bytes()
    except OSError as error:
        return repr(error).encode()


def _flatten(tree: settings.Tree, prefix: str = '') -> dict[str, object]:
    leaves: dict[str, object] = {}
    for name, entry in tree.items():
        if isinstance(entry, dict):
            leaves.update(_flatten(entry, f'{prefix}{name}.'))
        else:
            leaves[prefix + name] = entry
    return leaves


def _applies_live(name: str) -> bool:
    section = name.partition('.')[0]
    return section in _LIVE_SECTIONS or name in _LIVE_FIELDS
