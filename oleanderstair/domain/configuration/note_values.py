"""Processes values read from the configuration service.

These are the head, release notes, and the index and parts of a catalogue.
"""

import typing

import msgspec
import result

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.configuration import (
    catalogues,
    note_adoption,
    note_schema,
    notes,
)
from oleanderstair.domain.tables import catalogue

HEAD_NAME: typing.Final = 'head'
"""The name of the configuration value that identifies the newest note."""

NOTE_NAME_PREFIX: typing.Final = 'notes/'
"""The prefix of the names of values that hold notes."""

MIN_READ_GAP_MS: typing.Final = 2
"""The shortest average time between two note reads by the whole fleet. Each
instance waits for this time multiplied by the number of instances."""

MAX_NOTE_LAG: typing.Final = 8
"""If more notes than this are missing, the whole catalogue is read too."""


class Head(msgspec.Struct):
    """The number and digest of the newest published note."""

    number: note_schema.POSITIVE
    digest: str


def note_value_name(number: int) -> str:
    """Return the name of the configuration value that holds note ``number``."""
    return f'{NOTE_NAME_PREFIX}{number}'


def on_value(
    state: world.World,
    event: events.ValueRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Process a value from the configuration service according to its name.

    Any other name than those of the head, the index and the parts is a note's.
    """
    if event.body is None:
        return []
    if event.name == HEAD_NAME:
        return _on_head(state, event.body, now_ms)
    if event.name == catalogues.INDEX_NAME:
        return _on_index(state, event.body, now_ms)
    if event.name.startswith(f'{catalogues.INDEX_NAME}/'):
        return _on_part(state, event.name, event.body, now_ms)
    before = state.catalogue.in_force.number
    source = note_adoption.SERVICE_SOURCE
    done = note_adoption.adopt_note(state, event.body, now_ms, source)
    if state.catalogue.in_force.number > before:
        done.extend(request_next_note(state, now_ms))
    return done


def request_next_note(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Request a read of the next note if one is missing.

    Nothing is requested if the last such read was too recent; the gap between
    reads grows with the fleet, which bounds the fleet's read rate. The
    catalogue's index is read as well if more than ``MAX_NOTE_LAG`` notes are
    missing or the next note was refused.
    """
    table = state.catalogue
    missing = table.highest_read - table.in_force.number
    gap_ms = state.instances.largest_count * MIN_READ_GAP_MS
    if missing <= 0 or now_ms - state.reads.note_read_at_ms < gap_ms:
        return []
    state.reads.note_read_at_ms = now_ms
    value_names = [note_value_name(table.in_force.number + 1)]
    if missing > MAX_NOTE_LAG or _is_next_note_refused(table):
        value_names.append(catalogues.INDEX_NAME)
    return [actions.ReadValue(name) for name in value_names]


def _is_next_note_refused(table: catalogue.CatalogueTable) -> bool:
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
        return _record_refusal(state, notes.body_digest(body), f'head: {error}')
    table = state.catalogue
    if head.number < table.highest_read:
        return [actions.Count('stale-heads')]
    table.highest_read = head.number
    table.highest_known = max(table.highest_known, head.number)
    if head.number == table.in_force.number:
        if head.digest != table.in_force.digest:
            why = f'the head names another note {head.number}'
            return _record_refusal(state, head.digest, why, head.number)
    return request_next_note(state, now_ms)


def _on_index(
    state: world.World,
    body: bytes,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    table = state.catalogue
    parsed = catalogues.parse_index(body)
    if isinstance(parsed, result.Err):
        return _record_refusal(
            state, notes.body_digest(body), parsed.err_value.message
        )
    if parsed.ok_value.number <= table.in_force.number:
        return []
    table.index_body = body
    table.part_body_by_name.clear()
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
    digest = notes.body_digest(body)
    digest_by_name = {part.name: part.digest for part in index.parts}
    if digest_by_name.get(name) != digest:
        why = f'{name} is not the part that the index names; publish it again'
        return _record_refusal(state, digest, why, index.number)
    table.part_body_by_name[name] = body
    if len(table.part_body_by_name) < len(digest_by_name):
        return []
    done = note_adoption.adopt_parts(state, index, now_ms)
    table.index_body = b''
    return [*done, *request_next_note(state, now_ms)]


def _record_refusal(
    state: world.World,
    digest: str,
    why: str,
    number: int = 0,
) -> list[actions.Action]:
    source = note_adoption.SERVICE_SOURCE
    is_fork = bool(number) and number == state.catalogue.in_force.number
    refusal = catalogue.Refusal(number, digest, source, why, is_fork)
    return note_adoption.record_refusal(state, refusal)
