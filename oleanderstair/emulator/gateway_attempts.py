"""Attempts of virtual instances at targets, from dispatch to their end."""

import dataclasses
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.emulator import gateway_targets, links, timeline


class Run(typing.NamedTuple):
    """A call that a target began to run."""

    at_ms: clock.Millis
    target_id: str
    request_id: str
    path: str
    instance_id: str
    call_id: int
    attempt_id: int


class Member(typing.Protocol):
    """The instance that makes an attempt."""

    @property
    def state(self) -> world.World:
        """Return its tables."""

    @property
    def instance_id(self) -> str:
        """Return its id."""

    @property
    def incarnation(self) -> str:
        """Return the name of its start."""


class Host(typing.Protocol):
    """What attempts need of the fleet."""

    times: timeline.Timeline
    links: links.Links
    target_by_id: dict[str, gateway_targets.GatewayTarget]

    def tell_later(
        self,
        delay_ms: clock.Millis,
        member: typing.Any,
        event: events.Event,
    ) -> None:
        """Give an event to one incarnation after a time."""


Key: typing.TypeAlias = tuple[str, int]


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """An attempt whose end its instance has not been told."""

    member: Member
    action: actions.Dispatch
    target: gateway_targets.GatewayTarget | None = None
    exchange: gateway_targets.Exchange | None = None

    @property
    def key(self) -> Key:
        """Return what names the attempt in the fleet."""
        return self.member.incarnation, self.action.attempt_id


class Attempts:
    """The attempts under way in a fleet, and the runs they led to."""

    def __init__(self, host: Host) -> None:
        """Start without attempts."""
        self.runs: list[Run] = []
        self.late_answers = 0
        self._host = host
        self._open_by_key: dict[Key, Attempt] = {}
        self._status_by_key: dict[Key, int] = {}
        self._received_by_call: dict[int, events.CallReceived] = {}

    def note(self, received: events.CallReceived) -> None:
        """Keep a call for its attempts."""
        self._received_by_call[received.call_id] = received

    def received_of(self, call_id: int) -> events.CallReceived:
        """Return a call as it arrived; raise ``KeyError`` if it did not."""
        return self._received_by_call[call_id]

    def dispatch(self, member: Member, action: actions.Dispatch) -> None:
        """Send a call to whichever target has the address."""
        received = self._received_by_call[action.call_id]
        attempt = Attempt(member, action)
        self._open_by_key[attempt.key] = attempt
        self._host.times.after(
            action.silence_ms,
            lambda: self._end(
                attempt,
                gateway_targets.Reply(events.Verdict.SILENT),
            ),
        )
        target = self.target_at(action.address)
        end = target.target_id if target else action.target_id
        if self._host.links.is_cut(member.instance_id, end):
            return
        self._host.times.after(
            self._host.links.delay_ms(member.instance_id, end),
            lambda: self._arrive(attempt, target, received),
        )

    def cancel(self, member: Member, action: actions.CancelAttempt) -> None:
        """Close the connection of an attempt."""
        attempt = self._open_by_key.get(
            (member.incarnation, action.attempt_id),
        )
        if attempt is not None:
            self._drop(attempt)
            self._end(
                attempt,
                gateway_targets.Reply(events.Verdict.CANCELLED),
            )

    def drop_all(self, incarnation: str) -> None:
        """Close all connections of an instance that ended."""
        for attempt in tuple(self._open_by_key.values()):
            if attempt.member.incarnation == incarnation:
                self._drop(attempt)
                self._open_by_key.pop(attempt.key)

    def take_status(self, member: Member, action: actions.Relay) -> int:
        """Return the status of the answer that is relayed.

        Raises ``KeyError`` where the attempt has no answer.
        """
        return self._status_by_key.pop(
            (member.incarnation, action.attempt_id),
        )

    def target_at(
        self,
        address: str,
    ) -> gateway_targets.GatewayTarget | None:
        """Return the target that has an address, the newest first."""
        for target in reversed(self._host.target_by_id.values()):
            if target.address == address:
                return target
        return None

    def _arrive(
        self,
        attempt: Attempt,
        target: gateway_targets.GatewayTarget | None,
        received: events.CallReceived,
    ) -> None:
        if attempt.key not in self._open_by_key:
            return
        action = attempt.action
        refused = gateway_targets.Reply(events.Verdict.NOT_SENT, crashed=True)
        if target is None:
            self._end(attempt, refused)
            return
        if target.target_id != action.target_id:
            shed = gateway_targets.Reply(
                events.Verdict.SHED,
                misdirected=True,
            )
            self._answer(attempt, target, shed)
            return
        attempt.target = target
        attempt.exchange = gateway_targets.Exchange(
            received,
            self._host.times.now_ms() + action.budget_ms,
            lambda reply: self._answer(attempt, target, reply),
            lambda: self._note_run(attempt, received),
        )
        target.take(attempt.exchange)

    def _answer(
        self,
        attempt: Attempt,
        target: gateway_targets.GatewayTarget,
        reply: gateway_targets.Reply,
    ) -> None:
        between = self._host.links
        end = attempt.member.instance_id
        if between.is_cut(target.target_id, end):
            return
        self._host.times.after(
            between.delay_ms(target.target_id, end),
            lambda: self._end(attempt, reply),
        )

    def _end(
        self,
        attempt: Attempt,
        reply: gateway_targets.Reply,
    ) -> None:
        if self._open_by_key.pop(attempt.key, None) is None:
            self.late_answers += reply.verdict is events.Verdict.ANSWERED
            return
        if reply.verdict is events.Verdict.SILENT:
            self._drop(attempt)
        if reply.verdict is events.Verdict.ANSWERED:
            self._status_by_key[attempt.key] = reply.status
        if reply.limit_per_s is not None:
            limited = events.TargetTold(
                attempt.action.target_id,
                attempt.action.born_ms,
                limit_per_s=reply.limit_per_s,
            )
            self._host.tell_later(0, attempt.member, limited)
        ended = events.AttemptEnded(
            attempt.action.call_id,
            attempt.action.attempt_id,
            reply.verdict,
            reply.status,
            leaving=reply.leaving,
            crashed=reply.crashed,
            load=reply.load,
            misdirected=reply.misdirected,
        )
        self._host.tell_later(0, attempt.member, ended)

    def _drop(self, attempt: Attempt) -> None:
        target = attempt.target
        exchange = attempt.exchange
        if target is None or exchange is None:
            return
        delay_ms = self._host.links.delay_ms(
            attempt.member.instance_id,
            target.target_id,
        )
        self._host.times.after(delay_ms, lambda: target.drop(exchange))

    def _note_run(
        self,
        attempt: Attempt,
        received: events.CallReceived,
    ) -> None:
        target_id = attempt.action.target_id
        self.runs.append(
            Run(
                self._host.times.now_ms(),
                target_id,
                received.request_id,
                received.path,
                attempt.member.instance_id,
                received.call_id,
                attempt.action.attempt_id,
            ),
        )
