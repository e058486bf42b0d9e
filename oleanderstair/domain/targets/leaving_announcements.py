"""Drains targets that announce in an answer that they are leaving.

The announcement takes precedence over the target's registry entry, as the
registry may be outdated or unreachable. It holds until the target restarts.
"""

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import broadcast
from oleanderstair.domain.tables import registry


def on_target_told(
    state: world.World,
    event: events.TargetTold,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Drain a target that announced that it is leaving.

    Its idle connections are closed and the announcement is sent to peers.
    """
    if not event.leaving:
        return []
    message = messages.TargetLeft(event.target_id, event.born_ms)
    if not registry.mark_leaving(
        state.registry, message.target_id, message.born_ms
    ):
        return []
    return [
        actions.Audit('target', message.target_id, 'answer', 'leaving'),
        actions.CloseIdle(message.target_id),
        *broadcast.broadcast_message(state, message),
    ]


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Drain a target whose announcement was forwarded by a peer."""
    message = event.message
    if not isinstance(message, messages.TargetLeft):
        return []
    if not registry.mark_leaving(
        state.registry, message.target_id, message.born_ms
    ):
        return []
    source = f'peer {event.sender}'
    return [
        actions.Audit('target', message.target_id, source, 'leaving'),
        actions.CloseIdle(message.target_id),
        *broadcast.forward_message(state, event.sender, message),
    ]
