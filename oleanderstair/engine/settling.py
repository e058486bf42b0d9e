"""Settles pending calls: with an answer, a recorded one, or a refusal."""

import typing

from oleanderstair import clock, metrics
from oleanderstair.domain import actions, outcomes
from oleanderstair.engine import pending

_OVERDUE_MS: typing.Final = 2000
_NEVER_SETTLED: typing.Final = pending.Reply(
    outcomes.Outcome.UNKNOWN,
    outcomes.Reason.TARGET_LOST,
    detail='the call was not settled in time',
)


class Settling:
    """Gives each pending call of a shell its one reply."""

    def __init__(
        self,
        table: pending.PendingTable,
        counted: metrics.Metrics,
    ) -> None:
        """Settle the calls of ``table`` and count in ``counted``."""
        self._table = table
        self._metrics = counted

    def relay(self, action: actions.Relay) -> None:
        """Give the caller the answer of an attempt."""
        owed = self._table.call_by_id[action.call_id]
        answer = owed.answer_by_attempt[action.attempt_id]
        if action.record:
            self._table.recorded_by_call_id[action.call_id] = answer
        self._reply(
            action.call_id,
            pending.Reply(outcomes.Outcome.RAN, answer=answer),
        )

    def relay_recorded(self, action: actions.RelayRecorded) -> None:
        """Give a resent call the recorded answer."""
        answer = self._table.recorded_by_call_id[action.source_call_id]
        self._reply(
            action.call_id,
            pending.Reply(outcomes.Outcome.RAN, answer=answer),
        )

    def relay_home(self, action: actions.RelayHome) -> None:
        """Give the caller what the home of its key answered."""
        owed = self._table.call_by_id[action.call_id]
        self._reply(
            action.call_id,
            pending.Reply(outcomes.Outcome.RAN, answer=owed.home_answer),
        )

    def refuse(self, action: actions.Refuse) -> None:
        """Answer a call in place of a target."""
        self._metrics.count('refused', action.reason.value)
        self._reply(
            action.call_id,
            pending.Reply(
                action.outcome,
                action.reason,
                action.retry_after_ms,
                action.detail,
            ),
        )

    def _reply(self, call_id: int, reply: pending.Reply) -> None:
        owed = self._table.call_by_id.pop(call_id, None)
        if owed is None:
            self._metrics.count('late-replies')
            return
        owed.reply = reply
        owed.replied.set()

    def drop_recorded(self, action: actions.DropRecorded) -> None:
        """Forget the recorded answer of a call."""
        self._table.recorded_by_call_id.pop(action.call_id, None)

    def settle_overdue(self, now_ms: clock.Millis) -> None:
        """Tell ``unknown`` to calls that are long past their deadline."""
        overdue = [
            call_id
            for call_id, owed in self._table.call_by_id.items()
            if owed.received.deadline_ms + _OVERDUE_MS < now_ms
        ]
        for late_id in overdue:
            self._metrics.count('overdue')
            self._reply(late_id, _NEVER_SETTLED)


def create(
    table: pending.PendingTable,
    counted: metrics.Metrics,
) -> Settling:
    """Create what settles the calls of ``table``."""
    return Settling(table, counted)
