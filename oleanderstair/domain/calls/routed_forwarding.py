"""Forwards routed calls to a peer while this instance reaches no target.

The peer admits a forwarded call like any other, but never forwards it again.
Budgets are counted once: calls where they arrive from their callers, attempts
where they are made. A call that was forwarded may have run until the peer says
that it did not.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.calls import retry_budget, routed_answering
from oleanderstair.domain.fleet import member_list
from oleanderstair.domain.tables import members, routed
from oleanderstair.domain.targets import reachability

MAX_FORWARDS: typing.Final = 4
"""To how many peers a call is forwarded, one after the other."""

MIN_UNSENT_ATTEMPTS: typing.Final = 2
"""After how many attempts that could not be sent a call is forwarded even if
other targets were reached: open connections may live on."""

_PEER_REASONS: typing.Final = frozenset(
    (
        outcomes.Reason.ISOLATED,
        outcomes.Reason.STOPPING,
        outcomes.Reason.UNCONFIRMED,
    )
)
"""The reasons of refusals for which another peer is asked."""


def should_forward(state: world.World, call: routed.RoutedCall) -> bool:
    """Return whether a call that has no attempt in flight goes to a peer."""
    if call.received.from_peer:
        return False
    unsent_count = call.send_count - call.possible_run_count
    return (
        reachability.is_isolated(state) or unsent_count >= MIN_UNSENT_ATTEMPTS
    )


def forward_call(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Forward a call to a peer that reaches targets.

    Return an empty list, with nothing changed, if there is none, or if the call
    was forwarded ``MAX_FORWARDS`` times.
    """
    attempts_left = call.route.max_attempts - call.possible_run_count
    peer = _choose_peer(state, call, now_ms)
    if peer is None or attempts_left < 1:
        return []
    if call.possible_run_count:
        retry_budget.count_extra_attempt(state, call.service, now_ms)
    in_force = state.routes.in_force
    call = call._replace(
        stage=routed.Stage.FORWARDED,
        round=call.round + 1,
        awaited_target_ids=frozenset(),
        forwarded_to=peer.incarnation,
        tried_peers=(*call.tried_peers, peer.incarnation),
    )
    state.routed.call_by_id[call.call_id] = call
    return [
        actions.ForwardHome(
            call_id=call.call_id,
            home=peer.incarnation,
            address=peer.peer_address,
            budget_ms=call.due_at_ms - now_ms,
            service=call.service,
            configuration=in_force.number if in_force else 0,
            max_attempts=attempts_left,
        ),
        actions.Count('forwarded-calls'),
    ]


def on_targets_unreachable(
    state: world.World,
    event: events.TargetsUnreachable,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Forward the calls that wait for a target."""
    waiting = [
        call
        for call in state.routed.call_by_id.values()
        if call.stage in {routed.Stage.QUEUED, routed.Stage.SAMPLING}
        and not call.attempts
        and not call.received.from_peer
    ]
    return [
        action
        for call in waiting
        for action in forward_call(state, call, now_ms)
    ]


def on_peer_replied(
    state: world.World,
    event: events.HomeReplied,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Relay a peer's answer, ask another peer, or refuse the call.

    Another peer is asked only if this one said that the call did not run.
    """
    call = state.routed.call_by_id.get(event.call_id)
    if call is None or not event.home or call.forwarded_to != event.home:
        return []
    call = call._replace(forwarded_to='')
    if event.outcome is outcomes.Outcome.RAN:
        state.routed.call_by_id.pop(call.call_id)
        return [actions.RelayHome(call.call_id)]
    if event.outcome is outcomes.Outcome.UNKNOWN:
        call = call._replace(may_have_run=True)
    state.routed.call_by_id[call.call_id] = call
    reason = event.reason or outcomes.Reason.TARGET_LOST
    if reason is outcomes.Reason.ISOLATED:
        reachability.record_peer(state, event.home, True, now_ms)
    if event.outcome is outcomes.Outcome.NOT_RUN and reason in _PEER_REASONS:
        forwards = forward_call(state, call, now_ms)
        if forwards:
            return forwards
    return routed_answering.relay_failure_or_refuse(
        state, call, reason, event.retry_after_ms
    )


def refusal_of_peer_call(
    state: world.World, event: events.CallReceived
) -> outcomes.Reason | None:
    """Return why a call of a peer is refused at once, None if it is not.

    That is if this instance reaches no target either, or has an older
    configuration than the peer.
    """
    if not event.from_peer:
        return None
    if reachability.is_isolated(state):
        return outcomes.Reason.ISOLATED
    in_force = state.routes.in_force
    if in_force is None or in_force.number < event.configuration:
        return outcomes.Reason.UNCONFIRMED
    return None


def _choose_peer(
    state: world.World,
    call: routed.RoutedCall,
    now_ms: clock.Millis,
) -> members.Member | None:
    """Return a ready peer that reaches targets, of this data centre if any.

    It is random, in proportion to the capacity. Peers that were tried are left
    out.
    """
    if len(call.tried_peers) >= MAX_FORWARDS:
        return None
    own = state.identity
    groups = member_list.current_view(state).live_by_data_centre
    local: list[members.Member] = []
    remote: list[members.Member] = []
    for data_centre, rows in groups.items():
        (local if data_centre == own.data_centre else remote).extend(
            row
            for row in rows
            if row.standing is members.Standing.READY
            and row.incarnation != own.incarnation
            and row.incarnation not in call.tried_peers
            and not reachability.is_peer_isolated(
                state, row.incarnation, now_ms
            )
        )
    # A whole data centre may be isolated, so the others are tried as well.
    candidates = remote if call.tried_peers and remote else local or remote
    if not candidates:
        return None
    weights = [max(row.capacity, 1) for row in candidates]
    return state.rng.choices(candidates, weights)[0]
