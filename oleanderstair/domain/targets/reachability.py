"""Detects that this instance reaches no target, and tells its peers.

An instance may lose its links to all targets while callers, peers and the
store still reach it. It then forwards its calls to peers that reach targets,
and reads the load of a few targets to notice that its links are back.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import broadcast
from oleanderstair.domain.tables import calls, load_reports, routed
from oleanderstair.domain.targets import (
    evacuations,
    read_budgets,
    sampling,
)

MIN_FAILED_TARGETS: typing.Final = 3
"""How many targets must have failed since one was last reached; all of them
if there are fewer."""

MIN_SILENCE_MS: typing.Final[clock.Millis] = 200
"""How long no target must have been reached."""

MIN_PROBE_INTERVAL_MS: typing.Final[clock.Millis] = 200
"""The shortest interval at which an isolated instance probes a target."""

REPORT_INTERVAL_MS: typing.Final[clock.Millis] = 5000
"""How often an isolated instance tells its peers again."""

MIN_REPORT_INTERVAL_MS: typing.Final[clock.Millis] = 1000
"""The shortest time between two reports, also if the state changes often."""

REPORT_VALID_MS: typing.Final[clock.Millis] = 12_000
"""How long a peer counts as isolated after it has said so."""

MAX_PEERS: typing.Final = 2048
"""The maximum number of isolated peers in memory."""

_FAILED_VERDICTS: typing.Final = frozenset(
    (events.Verdict.NOT_SENT, events.Verdict.SILENT, events.Verdict.BROKEN)
)
_REACHED_VERDICTS: typing.Final = frozenset(
    (events.Verdict.ANSWERED, events.Verdict.SHED)
)


def is_isolated(state: world.World) -> bool:
    """Return whether this instance reaches no target."""
    return state.reachability.isolated_since_ms is not None


def is_peer_isolated(
    state: world.World, incarnation: str, now_ms: clock.Millis
) -> bool:
    """Return whether a peer has reported that it reaches no target."""
    until_ms = state.reachability.isolated_until_ms_by_peer.get(incarnation)
    return until_ms is not None and now_ms < until_ms


def record_peer(
    state: world.World,
    incarnation: str,
    is_peer_cut_off: bool,
    now_ms: clock.Millis,
) -> None:
    """Record whether a peer reaches no target."""
    table = state.reachability.isolated_until_ms_by_peer
    table.pop(incarnation, None)
    if not is_peer_cut_off:
        return
    while len(table) >= MAX_PEERS:
        table.pop(next(iter(table)))
    table[incarnation] = now_ms + REPORT_VALID_MS


def on_load_read(
    state: world.World,
    event: events.LoadRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record whether a read reached its target.

    A target that has never reported its load may have answered without a
    report, so a failed read of it counts only if it timed out.
    """
    if event.report is not None:
        return _record_reached(state, now_ms)
    load = load_reports.load_of(state.loads, event.target_id)
    is_answer_possible = event.took_ms < sampling.READ_TIMEOUT_MS
    if load.reported_at_ms == clock.NEVER_MS and is_answer_possible:
        return []
    return _record_failed(state, event.target_id, now_ms)


def record_attempt(
    state: world.World,
    ended: calls.Attempt,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record whether an attempt reached its target."""
    if event.verdict in _REACHED_VERDICTS:
        return _record_reached(state, now_ms)
    is_evidence = not (event.stale or event.memory_short)
    if event.verdict in _FAILED_VERDICTS and is_evidence:
        return _record_failed(state, ended.target_id, now_ms)
    return []


def record_overdue(
    state: world.World, call: routed.RoutedCall, now_ms: clock.Millis
) -> list[actions.Action]:
    """Record that the targets of a call have not answered until its end."""
    return [
        action
        for attempt in call.attempts
        for action in _record_failed(state, attempt.target_id, now_ms)
    ]


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """While isolated, probe a target when due, and report it to the peers.

    It is reported again at an interval, and once it is over.
    """
    table = state.reachability
    is_reported = table.reported_isolated == is_isolated(state)
    if is_reported and not is_isolated(state):
        return []
    done = _probe(state, 1, now_ms) if is_isolated(state) else []
    since_report_ms = now_ms - table.reported_at_ms
    min_interval_ms = (
        REPORT_INTERVAL_MS if is_reported else MIN_REPORT_INTERVAL_MS
    )
    if since_report_ms >= min_interval_ms:
        done.extend(_tell_peers(state, now_ms))
    return done


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record that a peer is isolated, or no longer is; pass that on."""
    message = event.message
    if not isinstance(message, messages.PeerIsolated):
        return []
    if message.incarnation != state.identity.incarnation:
        record_peer(state, message.incarnation, not message.is_over, now_ms)
    return broadcast.forward_message(state, event.sender, message)


def _record_reached(
    state: world.World, now_ms: clock.Millis
) -> list[actions.Action]:
    table = state.reachability
    table.reached_at_ms = now_ms
    table.failed_ids.clear()
    if table.isolated_since_ms is None:
        return []
    lasted_ms = now_ms - table.isolated_since_ms
    table.isolated_since_ms = None
    return [_audit(state, f'reaches targets again after {lasted_ms:.0f} ms')]


def _record_failed(
    state: world.World, target_id: str, now_ms: clock.Millis
) -> list[actions.Action]:
    """Record that a target was not reached.

    Targets in closed data centres don't count: they may be taken down, and
    nothing is sent there that could reach them.
    """
    table = state.reachability
    if is_isolated(state) or target_id not in state.registry.entry_by_id:
        return []
    if _is_closed(state, target_id):
        return []
    table.failed_ids.add(target_id)
    needed = min(MIN_FAILED_TARGETS, evacuations.open_target_count(state))
    if now_ms - table.reached_at_ms < MIN_SILENCE_MS:
        return []
    failed_count = sum(
        not _is_closed(state, failed_id) for failed_id in table.failed_ids
    )
    if failed_count < needed:
        # An instance with few calls would notice it only after several.
        return _probe(state, needed - 1, now_ms)
    table.isolated_since_ms = now_ms
    return [
        _audit(state, 'reaches no target; its calls go by way of peers'),
        actions.Count('isolations'),
        actions.Notify(events.TargetsUnreachable()),
    ]


def _is_closed(state: world.World, target_id: str) -> bool:
    """Return whether a target is in a closed data centre."""
    entry = state.registry.entry_by_id.get(target_id)
    return entry is not None and evacuations.is_closed(state, entry.data_centre)


def _probe(
    state: world.World, count: int, now_ms: clock.Millis
) -> list[actions.Action]:
    """Read the load of targets that have not failed, if that is due."""
    table = state.reachability
    if now_ms < table.probe_due_ms:
        return []
    interval_ms = max(
        count * read_budgets.random_probe_interval_ms(state),
        MIN_PROBE_INTERVAL_MS,
    )
    table.probe_due_ms = now_ms + interval_ms
    excluded_ids = () if is_isolated(state) else table.failed_ids
    return sampling.probe_random_targets(state, excluded_ids, count, now_ms)


def _tell_peers(
    state: world.World, now_ms: clock.Millis
) -> list[actions.Action]:
    state.reachability.reported_at_ms = now_ms
    state.reachability.reported_isolated = is_isolated(state)
    return broadcast.broadcast_message(
        state,
        messages.PeerIsolated(
            state.identity.incarnation, is_over=not is_isolated(state)
        ),
    )


def _audit(state: world.World, why: str) -> actions.Action:
    return actions.Audit('instance', state.identity.incarnation, 'targets', why)
