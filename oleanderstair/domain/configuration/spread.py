"""Takes release notes from the values of the configuration service."""

import typing

import msgspec
import result

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.configuration import (
    adopting,
    catalogues,
    entries,
    notes,
)
from oleanderstair.domain.tables import catalogue

HEAD_NAME: typing.Final = 'head'
NOTE_PREFIX: typing.Final = 'notes/'
READ_GAP_MS: typing.Final = 2
CATALOGUE_GAP: typing.Final = 8
"""How many notes behind a whole catalogue is read in their place."""


class Head(msgspec.Struct):
    """The published number and digest of the newest note."""

    number: entries.POSITIVE
    digest: str


def note_name(number: int) -> str:
    """Return the name of the configuration value that holds a note."""
    return f'{NOTE_PREFIX}{number}'


def on_value(
    state: world.World,
    event: events.ValueRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a configuration value that was read."""
    if event.body is None:
        return []
    if event.name == HEAD_NAME:
        return _on_head(state, event.body, now_ms)
    if event.name == catalogues.INDEX_NAME:
        return _on_index(state, event.body, now_ms)
    if event.name.startswith(f'{catalogues.INDEX_NAME}/'):
        return _on_part(state, event.name, event.body, now_ms)
    before = state.catalogue.in_force.number
    source = adopting.SERVICE
    taken = adopting.adopt_note(state, event.body, now_ms, source)
    if state.catalogue.in_force.number > before:
        taken.extend(read_next(state, now_ms))
    return taken


def read_next(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Read the next note, or the catalogue where many are missing.

    The reads of one instance are spaced by its share of the fleet's budget.
    """
    table = state.catalogue
    missing = table.highest_read - table.in_force.number
    gap_ms = state.instances.largest_count * READ_GAP_MS
    if missing <= 0 or now_ms - state.reads.note_read_at_ms < gap_ms:
        return []
    state.reads.note_read_at_ms = now_ms
    wanted = [note_name(table.in_force.number + 1)]
    if missing > CATALOGUE_GAP or _is_forked(table):
        wanted.append(catalogues.INDEX_NAME)
    return [actions.ReadValue(name) for name in wanted]


def _is_forked(table: catalogue.CatalogueTable) -> bool:
    following = table.in_force.number + 1
    return any(
        refusal.number == following
        for refusal in table.refusal_by_digest.values()
    )


def _on_head(
    state: world.World,
    body: bytes,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    try:
        head = msgspec.json.decode(body, type=Head)
    except msgspec.MsgspecError as error:
        return _refuse(state, notes.digest(body), f'head: {error}')
    table = state.catalogue
    if head.number < table.highest_read:
        return [actions.Count('stale-heads')]
    table.highest_read = head.number
    table.highest_heard = max(table.highest_heard, head.number)
    if head.number == table.in_force.number:
        if head.digest != table.in_force.digest:
            why = f'the head names another note {head.number}'
            return _refuse(state, head.digest, why, head.number)
    return read_next(state, now_ms)


def _on_index(
    state: world.World,
    body: bytes,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    table = state.catalogue
    parsed = catalogues.parse_index(body)
    if isinstance(parsed, result.Err):
        return _refuse(state, notes.digest(body), parsed.err_value.message)
    if parsed.ok_value.number <= table.in_force.number:
        return []
    table.index_body = body
    table.part_by_name.clear()
    return [actions.ReadValue(part.name) for part in parsed.ok_value.parts]


def _on_part(
    state: world.World,
    name: str,
    body: bytes,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    table = state.catalogue
    parsed = catalogues.parse_index(table.index_body)
    if isinstance(parsed, result.Err):
        return []
    index = parsed.ok_value
    digest = notes.digest(body)
    digest_by_name = {part.name: part.digest for part in index.parts}
    if digest_by_name.get(name) != digest:
        why = f'{name} is not the part that the index names; publish it again'
        return _refuse(state, digest, why, index.number)
    table.part_by_name[name] = body
    if len(table.part_by_name) < len(digest_by_name):
        return []
    taken = adopting.adopt_parts(state, index, now_ms)
    table.index_body = b''
    return [*taken, *read_next(state, now_ms)]


def _refuse(
    state: world.World,
    digest: str,
    why: str,
    number: int = 0,
) -> list[actions.Action]:
    source = adopting.SERVICE
    is_fork = bool(number) and number == state.catalogue.in_force.number
    refusal = catalogue.Refusal(number, digest, source, why, is_fork)
    return adopting.refuse(state, refusal)
