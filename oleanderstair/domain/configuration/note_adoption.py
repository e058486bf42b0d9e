"""Puts the next note or a newer whole catalogue in force, or refuses it.

The number in force only rises. A refused body is audited once; the last
good catalogue stays in force.
"""

import typing

import result

from oleanderstair import clock, errors
from oleanderstair.domain import actions, world
from oleanderstair.domain.configuration import catalogues, notes
from oleanderstair.domain.fleet import sharing
from oleanderstair.domain.tables import catalogue

HISTORY_LIMIT: typing.Final = 256
"""How many of the last notes are kept, to give to peers that lack them."""

HISTORY_BYTES: typing.Final = 1_000_000
"""How many bytes the kept notes may have together."""

EARLY_LIMIT: typing.Final = 64
"""How many notes are kept that came before the one that they follow."""

REFUSAL_LIMIT: typing.Final = 64
"""How many refused values are remembered, so that each is audited once."""

SERVICE: typing.Final = 'configuration service'


def adopt_note(
    state: world.World,
    body: bytes,
    now_ms: clock.Millis,
    source: str,
) -> list[actions.Action]:
    """Put the next note in force, and those that waited for it."""
    taken = _adopt_one(state, body, now_ms, source)
    early = state.catalogue.early_body_by_number
    while early:
        following = early.pop(state.catalogue.in_force.number + 1, None)
        if following is None:
            break
        taken.extend(_adopt_one(state, following, now_ms, source))
    for number in list(early):
        if number <= state.catalogue.in_force.number:
            early.pop(number)
    return taken


def adopt_whole(
    state: world.World,
    body: bytes,
    now_ms: clock.Millis,
    source: str,
) -> list[actions.Action]:
    """Put a whole catalogue in force where its number is higher."""
    if notes.digest(body) in state.catalogue.refusal_by_digest:
        return []
    return _take_whole(
        state,
        catalogues.parse(body),
        notes.digest(body),
        now_ms,
        source,
    )


def adopt_parts(
    state: world.World,
    index: catalogues.Index,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Put the catalogue of an index whose parts were read in force."""
    table = state.catalogue
    joined = catalogues.join(index, table.part_by_name)
    digest = notes.digest(table.index_body)
    table.part_by_name.clear()
    return _take_whole(state, joined, digest, now_ms, SERVICE)


def whole_publication(state: world.World) -> catalogue.Publication:
    """Return the catalogue in force as a body for peers, encoded once."""
    table = state.catalogue
    in_force = table.in_force
    whole = table.whole
    if whole is None or whole.number != in_force.number:
        whole = catalogue.Publication(
            in_force.number,
            in_force.digest,
            catalogues.encode(in_force),
            whole_catalogue=True,
        )
        table.whole = whole
    return whole


def refuse(
    state: world.World,
    refusal: catalogue.Refusal,
) -> list[actions.Action]:
    """Keep and audit a refusal, once for each refused body."""
    table = state.catalogue.refusal_by_digest
    if refusal.digest in table:
        return []
    while len(table) >= REFUSAL_LIMIT:
        table.pop(next(iter(table)))
    table[refusal.digest] = refusal
    kind = 'note-fork' if refusal.is_fork else 'note-refused'
    number = str(refusal.number or '?')
    return [actions.Audit(kind, number, refusal.source, refusal.why)]


def _adopt_one(
    state: world.World,
    body: bytes,
    now_ms: clock.Millis,
    source: str,
) -> list[actions.Action]:
    table = state.catalogue
    digest = notes.digest(body)
    if digest in table.refusal_by_digest:
        return []
    parsed = _parse(body)
    if isinstance(parsed, result.Err):
        why = parsed.err_value.message
        return refuse(state, catalogue.Refusal(0, digest, source, why))
    note = parsed.ok_value
    if note.number <= table.in_force.number:
        return _check_known(state, note, source)
    if note.number > table.in_force.number + 1:
        if len(table.early_body_by_number) < EARLY_LIMIT:
            table.early_body_by_number[note.number] = body
        return []
    applied = notes.apply_note(table.in_force, note)
    if isinstance(applied, result.Err):
        why = applied.err_value.message
        is_fork = note.parent != table.in_force.digest
        refused = catalogue.Refusal(note.number, digest, source, why, is_fork)
        return refuse(state, refused)
    _keep(table, catalogue.Publication(note.number, digest, body, False))
    return _put_in_force(state, applied.ok_value, now_ms, source)


def _parse(body: bytes) -> notes.NoteResult:
    if len(body) >= catalogues.VALUE_LIMIT_BYTES:
        return result.Err(
            errors.Problem(
                errors.ProblemKind.NOTE,
                'note',
                f'{len(body)} bytes',
                'split it into notes under 1 MB',
            ),
        )
    return notes.parse(body)


def _check_known(
    state: world.World,
    note: catalogue.Note,
    source: str,
) -> list[actions.Action]:
    """Refuse a second note with a known number and another digest."""
    table = state.catalogue
    kept = table.publication_by_number.get(note.number)
    known = kept.digest if kept else note.digest
    if note.number == table.in_force.number:
        known = table.in_force.digest
    if note.digest == known:
        return []
    why = (
        f'another note {note.number} is in force; publish the next number '
        'with a catalogue value (oleanderstair note compact)'
    )
    return refuse(
        state,
        catalogue.Refusal(note.number, note.digest, source, why, is_fork=True),
    )


def _take_whole(
    state: world.World,
    parsed: notes.CatalogueResult,
    digest: str,
    now_ms: clock.Millis,
    source: str,
) -> list[actions.Action]:
    if isinstance(parsed, result.Err):
        why = parsed.err_value.message
        return refuse(state, catalogue.Refusal(0, digest, source, why))
    if parsed.ok_value.number <= state.catalogue.in_force.number:
        return []
    # Bodies from before do not lead to this catalogue, so none is passed on.
    whole = parsed.ok_value
    state.catalogue.publication_by_number.clear()
    state.catalogue.base_number = whole.number
    state.catalogue.base_digest = whole.digest
    return _put_in_force(state, whole, now_ms, source)


def _put_in_force(
    state: world.World,
    adopted: catalogue.Catalogue,
    now_ms: clock.Millis,
    source: str,
) -> list[actions.Action]:
    table = state.catalogue
    table.in_force = adopted
    table.in_force_since_ms = now_ms
    table.highest_heard = max(table.highest_heard, adopted.number)
    state.facts.head_sends_left = sharing.NEWS_ROUNDS
    return [actions.Audit('note', str(adopted.number), source, 'adopted')]


def _keep(
    table: catalogue.CatalogueTable,
    publication: catalogue.Publication,
) -> None:
    kept = table.publication_by_number
    kept[publication.number] = publication
    size = sum(len(found.body) for found in kept.values())
    while len(kept) > 1 and (len(kept) > HISTORY_LIMIT or size > HISTORY_BYTES):
        oldest = kept.pop(next(iter(kept)))
        size -= len(oldest.body)
        table.base_number = oldest.number
        table.base_digest = oldest.digest
