"""Records the first events of an instance in memory for a replay."""

import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import actions, events, policy
from oleanderstair.domain.proof import traces
from oleanderstair.domain.tables import identity


class TraceRecorder(msgspec.Struct):
    """The first ``max_events`` events of an instance, encoded.

    A replay starts from the initial state, so the oldest events are kept.
    ``full`` is true once a later event was left out.
    """

    header: traces.Header
    max_events: int
    lines: list[bytes] = msgspec.field(default_factory=list)
    full: bool = False

    def record(
        self,
        now_ms: clock.Millis,
        event: events.Event,
        decided_actions: typing.Sequence[actions.Action],
    ) -> None:
        """Record an event and its actions while the trace is not full."""
        if len(self.lines) >= self.max_events:
            self.full = True
            return
        digest = traces.digest_actions(decided_actions)
        traced = traces.TracedEvent(now_ms, event, digest)
        self.lines.append(traces.encode_event(traced))

    def export(self) -> bytes:
        """Return the trace recorded so far."""
        trailer = traces.Trailer(len(self.lines), self.full)
        return traces.encode_trace(self.header, self.lines, trailer)


def create(
    own_identity: identity.Identity,
    initial_policy: policy.Policy,
    seed: int,
    max_events: int,
) -> TraceRecorder:
    """Create a recorder for up to ``max_events`` events."""
    header = traces.Header(
        traces.FORMAT_VERSION, own_identity, initial_policy._asdict(), seed
    )
    return TraceRecorder(header, max_events)
