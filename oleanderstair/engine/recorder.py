"""Keeps the first events of an instance in memory, for replay."""

import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import actions, events, policy
from oleanderstair.domain.proof import traces
from oleanderstair.domain.tables import identity


class TraceRecorder(msgspec.Struct):
    """Encoded events from the start on, up to ``limit``.

    A replay starts from an empty world, so the oldest events are kept and
    those past the limit are only noted as left out.
    """

    header: traces.Header
    limit: int
    lines: list[bytes] = msgspec.field(default_factory=list)
    full: bool = False

    def record(
        self,
        now_ms: clock.Millis,
        event: events.Event,
        done: typing.Sequence[actions.Action],
    ) -> None:
        """Keep an event and what was decided, while there is room."""
        if len(self.lines) >= self.limit:
            self.full = True
            return
        decided = traces.digest(done)
        traced = traces.TracedEvent(now_ms, event, decided)
        self.lines.append(traces.encode_event(traced))

    def export(self) -> bytes:
        """Return the trace as it stands."""
        trailer = traces.Trailer(len(self.lines), self.full)
        return traces.encode(self.header, self.lines, trailer)


def create(
    own: identity.Identity,
    limits: policy.Policy,
    seed: int,
    limit: int,
) -> TraceRecorder:
    """Create a recorder that keeps up to ``limit`` events."""
    header = traces.Header(traces.FORMAT_VERSION, own, limits._asdict(), seed)
    return TraceRecorder(header, limit)
