"""Reloads the settings file of a running instance, and tells what changed.

The file is read again on request, and now and then without one; a file
that can't be read or that is wrong changes nothing.
"""

import pathlib
import typing

import anyio

from oleanderstair import clock, errors, logs, settings

READ_EVERY_MS: typing.Final = 2000
"""How often the file is read without being told of a change."""

_LIVE_SECTIONS: typing.Final = ('policy',)
_LIVE_FIELDS: typing.Final = frozenset(
    (
        'callers.max_answer_bytes',
        'callers.max_connections',
        'callers.answer_time_ms',
    ),
)
_NOTHING: typing.Final = 'nothing'


class Change(typing.NamedTuple):
    """The names of changed fields, and which of them need a restart."""

    applied: tuple[str, ...]
    waiting: tuple[str, ...]

    @property
    def text(self) -> str:
        """Return both lists on one line."""
        applied = ' '.join(self.applied) or _NOTHING
        waiting = ' '.join(self.waiting) or _NOTHING
        return f'changed: {applied}; after a restart: {waiting}'


Apply: typing.TypeAlias = typing.Callable[
    [settings.Settings, Change, str],
    None,
]


class Reloader:
    """Compares the file at a path with the settings in force."""

    def __init__(
        self,
        path: pathlib.Path,
        checked: settings.Settings,
        apply: Apply,
    ) -> None:
        """Hand changes of the file at ``path`` to ``apply``."""
        self._path = path
        self._checked = checked
        self._apply = apply
        self._seen = _content_of(path)

    def reload(self, actor: str) -> None:
        """Read the file, and apply it where it is right."""
        self._seen = _content_of(self._path)
        try:
            checked = settings.load(self._path)
        except errors.UserError as error:
            logs.event('settings-refused', actor=actor, why=str(error))
            return
        change = compare(self._checked, checked)
        self._checked = checked
        self._apply(checked, change, actor)

    async def watch(self) -> None:
        """Reload at each change of the content until cancelled."""
        while True:
            await anyio.sleep(clock.to_seconds(READ_EVERY_MS))
            if _content_of(self._path) != self._seen:
                self.reload('file')


def compare(older: settings.Settings, newer: settings.Settings) -> Change:
    """Return which fields differ, and which of these need a restart."""
    before = _leaves(settings.as_tree(older))
    after = _leaves(settings.as_tree(newer))
    changed = sorted(name for name in after if before.get(name) != after[name])
    return Change(
        tuple(name for name in changed if _is_live(name)),
        tuple(name for name in changed if not _is_live(name)),
    )


def create(
    path: pathlib.Path,
    checked: settings.Settings,
    apply: Apply,
) -> Reloader:
    """Create a reloader of the file that ``checked`` came from."""
    return Reloader(path, checked, apply)


def _content_of(path: pathlib.Path) -> bytes:
    """Return what the file holds; what can't be read differs from it."""
    try:
        return path.read_bytes()
    except OSError as error:
        return repr(error).encode()


def _leaves(tree: settings.Tree, above: str = '') -> dict[str, object]:
    found: dict[str, object] = {}
    for name, entry in tree.items():
        if isinstance(entry, dict):
            found.update(_leaves(entry, f'{above}{name}.'))
        else:
            found[above + name] = entry
    return found


def _is_live(name: str) -> bool:
    section = name.partition('.')[0]
    return section in _LIVE_SECTIONS or name in _LIVE_FIELDS
