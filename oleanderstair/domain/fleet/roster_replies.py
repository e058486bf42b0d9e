"""Compose replies to rosters, until both sides have the same members.

Instances with the same members exchange heartbeat counters. Where the
checksums of a data centre differ, one side sends the marks of all its members
and the other side replies with the differences.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import messages, world
from oleanderstair.domain.fleet import member_list, member_marks, rosters
from oleanderstair.domain.tables import members


class _ReplyContent(typing.NamedTuple):
    """The content of a roster besides the sender's row."""

    added_rows: tuple[members.Member, ...] = ()
    whole_data_centres: tuple[str, ...] = ()
    marks_by_data_centre: dict[str, tuple[messages.Mark, ...]] = {}
    newer_marks: tuple[messages.Mark, ...] = ()
    wanted_keys: tuple[int, ...] = ()


def compose_reply(
    state: world.World,
    roster: messages.Roster,
    now_ms: clock.Millis,
) -> messages.Roster | None:
    """Return the reply to a roster that was applied, None if none is due."""
    if roster.turn is messages.Turn.ASKS:
        return _compose_answer(state, roster, now_ms)
    content = _compare_marks(state, roster)
    if roster.turn is messages.Turn.ANSWERS and roster.checksum_by_data_centre:
        content = _add_differing(state, roster, content)
    if not any(content):
        return None
    composed = rosters.compose_roster(state, now_ms, messages.Turn.ENDS)
    if content.marks_by_data_centre or content.whole_data_centres:
        composed = rosters.add_checksums(state, composed, now_ms)
    return _add_content(composed, content)


def _compose_answer(
    state: world.World,
    roster: messages.Roster,
    now_ms: clock.Millis,
) -> messages.Roster:
    """Return the answer to a query.

    With equal checksums it carries only counters and contact ages. A sender
    without other members gets all live rows. Otherwise it gets checksums, and
    the marks of this data centre if its checksum differs.
    """
    view = member_list.current_view(state)
    own_data_centre = state.identity.data_centre
    is_local_sender = roster.rows[0].data_centre == own_data_centre
    composed = rosters.add_beats(
        state,
        rosters.compose_roster(state, now_ms, messages.Turn.ANSWERS),
        now_ms,
        is_local_sender,
    )
    if roster.checksum == view.checksum:
        return composed
    content = _ReplyContent()
    if _is_sender_without_members(roster):
        content = _all_live_rows(state)
    elif _has_different_local_checksum(state, roster, is_local_sender):
        content = _ReplyContent(
            marks_by_data_centre={
                own_data_centre: member_marks.marks_of_data_centre(
                    state, own_data_centre
                )
            }
        )
    composed = rosters.add_checksums(state, composed, now_ms)
    return _add_content(composed, content)


def _is_sender_without_members(roster: messages.Roster) -> bool:
    """Return whether the sender's checksums cover no member but itself."""
    sender = roster.rows[0]
    sender_only = {sender.data_centre: member_list.rows_checksum([sender])}
    return roster.checksum_by_data_centre == sender_only


def _all_live_rows(state: world.World) -> _ReplyContent:
    live_by_data_centre = member_list.current_view(state).live_by_data_centre
    return _ReplyContent(
        added_rows=_live_rows(state, live_by_data_centre),
        whole_data_centres=tuple(live_by_data_centre),
    )


def _live_rows(
    state: world.World,
    data_centres: typing.Iterable[str],
) -> tuple[members.Member, ...]:
    """Return the rows of other live members of some data centres."""
    return tuple(
        row
        for data_centre in data_centres
        for row in member_list.rows_of_other_members(state, data_centre)
        if row.is_live
    )


def _has_different_local_checksum(
    state: world.World,
    roster: messages.Roster,
    is_local_sender: bool,
) -> bool:
    """Return whether the sender's checksum of this data centre differs."""
    own_data_centre = state.identity.data_centre
    checksum = roster.checksum_by_data_centre.get(own_data_centre)
    if is_local_sender:
        checksum = roster.near_checksum
    return (
        checksum
        != member_list.current_view(state).checksum_by_data_centre[
            own_data_centre
        ]
    )


def _add_content(
    composed: messages.Roster, content: _ReplyContent
) -> messages.Roster:
    """Add content to a roster; the sender's row stays the first."""
    return composed._replace(
        rows=(*composed.rows, *content.added_rows),
        whole=content.whole_data_centres,
        marks_by_data_centre=content.marks_by_data_centre,
        newer=content.newer_marks,
        wanted=content.wanted_keys,
    )


def _compare_marks(
    state: world.World, roster: messages.Roster
) -> _ReplyContent:
    """Return the requested rows and the differences to a roster's marks.

    Missing rows and newer marks are sent to senders in the same data centre.
    A sender in another one gets them only for a data centre that it requests
    by an empty tuple of marks.
    """
    is_local_sender = roster.rows[0].data_centre == state.identity.data_centre
    differences = [
        member_marks.compare_marks(state, data_centre, received)
        for data_centre, received in roster.marks_by_data_centre.items()
    ]
    sendable = [
        difference
        for difference, received in zip(
            differences,
            roster.marks_by_data_centre.values(),
            strict=True,
        )
        if is_local_sender or not received
    ]
    return _ReplyContent(
        added_rows=(
            *member_marks.rows_by_key(state, roster.wanted),
            *(
                row
                for difference in sendable
                for row in difference.missing_rows
            ),
        ),
        newer_marks=tuple(
            mark for difference in sendable for mark in difference.newer_marks
        ),
        wanted_keys=tuple(
            key for difference in differences for key in difference.wanted_keys
        ),
    )


def _add_differing(
    state: world.World,
    roster: messages.Roster,
    content: _ReplyContent,
) -> _ReplyContent:
    """Add the data centres for which the sender's checksum differs.

    For a data centre that both sides know, its marks are added, and for one
    that the sender lacks, all its live rows. For one that is unknown here, an
    empty tuple of marks requests its rows. A sender in another data centre
    gets marks only of the data centre of this instance.
    """
    own_data_centre = state.identity.data_centre
    is_local_sender = roster.rows[0].data_centre == own_data_centre
    sender_checksums = roster.checksum_by_data_centre
    own_checksums = member_list.current_view(state).checksum_by_data_centre
    handled = {*roster.marks_by_data_centre, *roster.whole}
    unknown_to_sender = own_checksums.keys() - sender_checksums.keys() - handled
    differing = [
        data_centre
        for data_centre in own_checksums.keys()
        & sender_checksums.keys() - handled
        if sender_checksums[data_centre] != own_checksums[data_centre]
        and (is_local_sender or data_centre == own_data_centre)
    ]
    # An empty tuple of marks requests all rows of a data centre.
    unknown_here = dict.fromkeys(
        sender_checksums.keys() - own_checksums.keys() - handled, ()
    )
    return content._replace(
        added_rows=content.added_rows + _live_rows(state, unknown_to_sender),
        whole_data_centres=tuple(unknown_to_sender),
        marks_by_data_centre={
            **unknown_here,
            **{
                data_centre: member_marks.marks_of_data_centre(
                    state, data_centre
                )
                for data_centre in differing
            },
        },
    )
