"""Adopts release notes from the configuration service and from peers."""

import typing

import msgspec
import result

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, notes, world
from oleanderstair.domain.tables import catalogue

HEAD_NAME: typing.Final = 'head'


class Head(msgspec.Struct):
    """The published number and digest of the newest note."""

    number: int
    digest: str


def note_name(number: int) -> str:
    """Return the name of the configuration value that holds a note."""
    return f'notes/{number}'


def on_value(
    state: world.World,
    event: events.ValueRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a configuration value that was read."""
    if event.body is None:
        return []
    if event.name == HEAD_NAME:
        return _on_head(state, event.body)
    return adopt(state, event.body, now_ms, 'configuration service')


def adopt(
    state: world.World,
    body: bytes,
    now_ms: clock.Millis,
    source: str,
) -> list[actions.Action]:
    """Put the next note in force, or refuse it whole and say why."""
    table = state.catalogue
    parsed = notes.parse(body)
    if isinstance(parsed, result.Err):
        return [_refused('?', source, parsed.err_value.message)]
    note = parsed.ok_value
    if note.number <= table.in_force.number:
        return []
    applied = notes.apply_note(table.in_force, note)
    if isinstance(applied, result.Err):
        return [_refused(str(note.number), source, applied.err_value.message)]
    table.in_force = applied.ok_value
    table.in_force_since_ms = now_ms
    table.publication_by_number[note.number] = catalogue.Publication(
        note.number,
        note.digest,
        body,
        whole_catalogue=False,
    )
    return [
        actions.Audit('note', str(note.number), source, 'adopted'),
        *_read_next(state),
    ]


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Answer and take notes that peers ask for and offer."""
    message = event.message
    if isinstance(message, messages.NoteBody):
        return adopt(state, message.body, now_ms, event.sender)
    return []


def _on_head(state: world.World, body: bytes) -> list[actions.Action]:
    try:
        head = msgspec.json.decode(body, type=Head)
    except msgspec.MsgspecError as error:
        return [_refused(HEAD_NAME, 'configuration service', str(error))]
    table = state.catalogue
    table.highest_heard = max(table.highest_heard, head.number)
    table.highest_read = max(table.highest_read, head.number)
    return _read_next(state)


def _read_next(state: world.World) -> list[actions.Action]:
    table = state.catalogue
    if table.highest_heard <= table.in_force.number:
        return []
    return [actions.ReadValue(note_name(table.in_force.number + 1))]


def _refused(number: str, source: str, why: str) -> actions.Action:
    return actions.Audit('note-refused', number, source, why)
