"""Adopts the next release note or a newer whole catalogue, or refuses it.

The number of the note in force never decreases. A refused body is audited
once, and the last valid catalogue stays in force.
"""

import typing

import result

from oleanderstair import clock, errors
from oleanderstair.domain import actions, world
from oleanderstair.domain.configuration import catalogues, notes
from oleanderstair.domain.fleet import shared_facts
from oleanderstair.domain.tables import catalogue

MAX_HISTORY_NOTES: typing.Final = 256
"""How many of the latest notes are kept for peers that request them."""

MAX_HISTORY_BYTES: typing.Final = 1_000_000
"""The total size of the kept notes; the latest one is always kept."""

MAX_EARLY_NOTES: typing.Final = 64
"""How many notes are buffered that arrived before their predecessor; further
ones are dropped."""

MAX_REFUSALS: typing.Final = 64
"""How many refused bodies are remembered, so that each is audited once."""

SERVICE_SOURCE: typing.Final = 'configuration service'
"""The source of values from the configuration service, for the audit trail."""


def adopt_note(
    state: world.World,
    body: bytes,
    now_ms: clock.Millis,
    source: str,
) -> list[actions.Action]:
    """Adopt the note in ``body``, then buffered notes that follow it.

    Buffered notes up to the number in force are dropped.
    """
    done = _adopt_single_note(state, body, now_ms, source)
    early_bodies = state.catalogue.early_body_by_number
    while early_bodies:
        following = early_bodies.pop(state.catalogue.in_force.number + 1, None)
        if following is None:
            break
        done.extend(_adopt_single_note(state, following, now_ms, source))
    for number in list(early_bodies):
        if number <= state.catalogue.in_force.number:
            early_bodies.pop(number)
    return done


def adopt_catalogue(
    state: world.World,
    body: bytes,
    now_ms: clock.Millis,
    source: str,
) -> list[actions.Action]:
    """Adopt a whole catalogue if its number is above the one in force.

    A body that can't be decoded or is invalid is refused.
    """
    if notes.body_digest(body) in state.catalogue.refusal_by_digest:
        return []
    return _adopt_parsed_catalogue(
        state,
        catalogues.parse_catalogue(body),
        notes.body_digest(body),
        now_ms,
        source,
    )


def adopt_parts(
    state: world.World,
    index: catalogues.Index,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Adopt the catalogue of ``index`` once all of its parts were read."""
    table = state.catalogue
    joined = catalogues.join_parts(index, table.part_body_by_name)
    digest = notes.body_digest(table.index_body)
    table.part_body_by_name.clear()
    return _adopt_parsed_catalogue(
        state, joined, digest, now_ms, SERVICE_SOURCE
    )


def catalogue_publication(state: world.World) -> catalogue.Publication:
    """Return the catalogue in force, encoded for peers.

    The encoded body is cached until the number in force changes.
    """
    table = state.catalogue
    in_force = table.in_force
    publication = table.whole_publication
    if publication is None or publication.number != in_force.number:
        publication = catalogue.Publication(
            in_force.number,
            in_force.digest,
            catalogues.encode_catalogue(in_force),
            whole_catalogue=True,
        )
        table.whole_publication = publication
    return publication


def record_refusal(
    state: world.World,
    refusal: catalogue.Refusal,
) -> list[actions.Action]:
    """Remember and audit a refusal, once per refused digest."""
    table = state.catalogue.refusal_by_digest
    if refusal.digest in table:
        return []
    while len(table) >= MAX_REFUSALS:
        table.pop(next(iter(table)))
    table[refusal.digest] = refusal
    kind = 'note-fork' if refusal.is_fork else 'note-refused'
    number = str(refusal.number or '?')
    return [actions.Audit(kind, number, refusal.source, refusal.why)]


def _adopt_single_note(
    state: world.World,
    body: bytes,
    now_ms: clock.Millis,
    source: str,
) -> list[actions.Action]:
    table = state.catalogue
    digest = notes.body_digest(body)
    if digest in table.refusal_by_digest:
        return []
    parsed = _parse_bounded(body)
    if isinstance(parsed, result.Err):
        why = parsed.err_value.message
        return record_refusal(state, catalogue.Refusal(0, digest, source, why))
    note = parsed.ok_value
    if note.number <= table.in_force.number:
        return _check_known_note(state, note, source)
    if note.number > table.in_force.number + 1:
        if len(table.early_body_by_number) < MAX_EARLY_NOTES:
            table.early_body_by_number[note.number] = body
        return []
    applied = notes.apply_note(table.in_force, note)
    if isinstance(applied, result.Err):
        why = applied.err_value.message
        is_fork = note.parent != table.in_force.digest
        refused = catalogue.Refusal(note.number, digest, source, why, is_fork)
        return record_refusal(state, refused)
    _keep_publication(
        table, catalogue.Publication(note.number, digest, body, False)
    )
    return _put_in_force(state, applied.ok_value, now_ms, source)


def _parse_bounded(body: bytes) -> notes.NoteResult:
    if len(body) >= catalogues.MAX_VALUE_BYTES:
        return result.Err(
            errors.Problem(
                errors.ProblemKind.NOTE,
                'note',
                f'{len(body)} bytes',
                'split it into notes under 1 MB',
            ),
        )
    return notes.parse_note(body)


def _check_known_note(
    state: world.World,
    note: catalogue.Note,
    source: str,
) -> list[actions.Action]:
    """Refuse a note that differs from the adopted note of its number.

    A note whose number is no longer kept can't be compared and is ignored.
    """
    table = state.catalogue
    kept = table.publication_by_number.get(note.number)
    known_digest = kept.digest if kept else note.digest
    if note.number == table.in_force.number:
        known_digest = table.in_force.digest
    if note.digest == known_digest:
        return []
    why = (
        f'another note {note.number} is in force; publish the next number '
        'with a catalogue value (oleanderstair note compact)'
    )
    return record_refusal(
        state,
        catalogue.Refusal(note.number, note.digest, source, why, is_fork=True),
    )


def _adopt_parsed_catalogue(
    state: world.World,
    parsed: notes.CatalogueResult,
    digest: str,
    now_ms: clock.Millis,
    source: str,
) -> list[actions.Action]:
    if isinstance(parsed, result.Err):
        why = parsed.err_value.message
        return record_refusal(state, catalogue.Refusal(0, digest, source, why))
    if parsed.ok_value.number <= state.catalogue.in_force.number:
        return []
    # Peers can't reach this catalogue by the kept notes, as those end before
    # it. From now on peers with an older note get the whole catalogue.
    adopted = parsed.ok_value
    state.catalogue.publication_by_number.clear()
    state.catalogue.base_number = adopted.number
    state.catalogue.base_digest = adopted.digest
    return _put_in_force(state, adopted, now_ms, source)


def _put_in_force(
    state: world.World,
    adopted: catalogue.Catalogue,
    now_ms: clock.Millis,
    source: str,
) -> list[actions.Action]:
    table = state.catalogue
    table.in_force = adopted
    table.in_force_since_ms = now_ms
    table.highest_known = max(table.highest_known, adopted.number)
    state.facts.note_head_sends_left = shared_facts.SEND_ROUNDS
    return [actions.Audit('note', str(adopted.number), source, 'adopted')]


def _keep_publication(
    table: catalogue.CatalogueTable,
    publication: catalogue.Publication,
) -> None:
    kept = table.publication_by_number
    kept[publication.number] = publication
    size_bytes = sum(len(found.body) for found in kept.values())
    while len(kept) > 1 and (
        len(kept) > MAX_HISTORY_NOTES or size_bytes > MAX_HISTORY_BYTES
    ):
        oldest = kept.pop(next(iter(kept)))
        size_bytes -= len(oldest.body)
        table.base_number = oldest.number
        table.base_digest = oldest.digest
