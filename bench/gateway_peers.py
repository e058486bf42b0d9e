"""Answers for the peers of one gateway, and counts what they cost it."""

import dataclasses
import time
import typing

from oleanderstair.domain import actions, events, gateway, messages, world
from oleanderstair.domain.configuration import store_sync
from oleanderstair.domain.fleet import codec, member_list


@dataclasses.dataclass(slots=True)
class Peers:
    """What the peers of one instance cost it in a span of time.

    Processor time in s, then bytes and messages.
    """

    tick_s: float = 0
    heard_s: float = 0
    sent_bytes: int = 0
    sent: int = 0
    heard: int = 0

    def send(self, frames: typing.Iterable[tuple[str, bytes]]) -> None:
        """Count what is sent."""
        for _, frame in frames:
            self.sent += 1
            self.sent_bytes += len(frame)


def run(state: world.World, span_ms: int) -> Peers:
    """Step ticks for a span, and answer for the peers.

    Each of those that are asked asks once as well.
    """
    peers = Peers()
    for now_ms in range(0, span_ms, int(state.policy.tick_ms)):
        state.store.current_at_ms = now_ms
        _hear_away(state, now_ms)
        began_s = time.thread_time()
        frames = _told(gateway.step(state, events.Tick(), now_ms))
        peers.tick_s += time.thread_time() - began_s
        peers.send(frames)
        for asked, _ in frames:
            for reply in _replies(state, asked, now_ms):
                _hear(state, peers, events.PeerHeard(asked, reply), now_ms)
    return peers


def _hear(
    state: world.World,
    peers: Peers,
    event: events.PeerHeard,
    now_ms: int,
) -> None:
    frame = codec.encode(event.message)
    began_s = time.thread_time()
    heard = event._replace(message=codec.decode(frame).unwrap())
    frames = _told(gateway.step(state, heard, now_ms))
    peers.heard_s += time.thread_time() - began_s
    peers.heard += 1
    peers.send(frames)


def _hear_away(state: world.World, now_ms: int) -> None:
    """Let word of each other data centre have come just now."""
    for place in state.members.contact_at_ms_by_data_centre:
        member_list.record_data_centre_contact(state, place, now_ms)


def _told(done: typing.Iterable[actions.Action]) -> list[tuple[str, bytes]]:
    return [
        (action.incarnation, codec.encode(action.message))
        for action in done
        if isinstance(action, actions.SendPeer)
    ]


def _replies(
    state: world.World,
    incarnation: str,
    now_ms: int,
) -> list[messages.Roster]:
    """Return a peer's answer to a question, and a question of its own."""
    table = state.members
    if incarnation not in table.member_by_incarnation:
        return []
    beat = int(now_ms // state.policy.tick_ms) + 1
    view = member_list.current_view(state)
    sender = table.member_by_incarnation[incarnation]._replace(beat=beat)
    here = view.live_by_data_centre[state.identity.data_centre]
    near = sender.data_centre == state.identity.data_centre
    known = store_sync.local_position(state)
    roster = messages.Roster(
        rows=(sender,),
        checksum=view.checksum,
        near_checksum=view.checksum_by_data_centre[sender.data_centre],
        number=known.number,
        revision=known.revision,
        age_ms=0,
        beats=beat.to_bytes(2) * len(here) if near else b'',
        word_ages=bytes(len(view.checksum_by_data_centre)),
    )
    turns = (messages.Turn.ANSWERS, messages.Turn.ASKS)
    return [roster._replace(turn=turn) for turn in turns]
