"""Settles each pending call with an answer, a recorded one or a refusal."""

import typing

from oleanderstair import clock, metrics
from oleanderstair.domain import actions, outcomes
from oleanderstair.engine import pending

_OVERDUE_AFTER_DEADLINE_MS: typing.Final = 2000
_OVERDUE_REPLY: typing.Final = pending.Reply(
    outcomes.Outcome.UNKNOWN,
    outcomes.Reason.TARGET_LOST,
    detail='the call was not settled in time',
)


class CallSettler:
    """Gives each pending call exactly one reply."""

    def __init__(
        self,
        table: pending.PendingTable,
        counters: metrics.Metrics,
    ) -> None:
        """Settle the calls of ``table`` and count in ``counters``."""
        self._table = table
        self._metrics = counters

    def relay(self, action: actions.Relay) -> None:
        """Reply with the answer of an attempt.

        Record the answer for resent calls if ``action.record`` is true.
        """
        pending_call = self._table.call_by_id[action.call_id]
        answer = pending_call.answer_by_attempt[action.attempt_id]
        if action.record:
            self._table.recorded_answer_by_call_id[action.call_id] = answer
        self._settle(
            action.call_id,
            pending.Reply(outcomes.Outcome.RAN, answer=answer),
        )

    def relay_recorded(self, action: actions.RelayRecorded) -> None:
        """Reply to a resent call with the recorded answer of the first call."""
        answer = self._table.recorded_answer_by_call_id[action.source_call_id]
        self._settle(
            action.call_id,
            pending.Reply(outcomes.Outcome.RAN, answer=answer),
        )

    def relay_home_answer(self, action: actions.RelayHome) -> None:
        """Reply with the answer from the home instance of the key."""
        pending_call = self._table.call_by_id[action.call_id]
        self._settle(
            action.call_id,
            pending.Reply(
                outcomes.Outcome.RAN, answer=pending_call.home_answer
            ),
        )

    def refuse(self, action: actions.Refuse) -> None:
        """Reply with a refusal in place of a target's answer."""
        self._metrics.count('refused', action.reason.value)
        self._settle(
            action.call_id,
            pending.Reply(
                action.outcome,
                action.reason,
                action.retry_after_ms,
                action.detail,
            ),
        )

    def _settle(self, call_id: int, reply: pending.Reply) -> None:
        pending_call = self._table.call_by_id.pop(call_id, None)
        if pending_call is None:
            self._metrics.count('late-replies')
            return
        pending_call.reply = reply
        pending_call.replied.set()

    def drop_recorded(self, action: actions.DropRecorded) -> None:
        """Delete the recorded answer of a call."""
        self._table.recorded_answer_by_call_id.pop(action.call_id, None)

    def settle_overdue(self, now_ms: clock.Millis) -> None:
        """Settle calls 2 s past their deadline with the outcome ``unknown``."""
        overdue = [
            call_id
            for call_id, pending_call in self._table.call_by_id.items()
            if pending_call.received.deadline_ms + _OVERDUE_AFTER_DEADLINE_MS
            < now_ms
        ]
        for overdue_id in overdue:
            self._metrics.count('overdue')
            self._settle(overdue_id, _OVERDUE_REPLY)


def create(
    table: pending.PendingTable,
    counters: metrics.Metrics,
) -> CallSettler:
    """Create the settler of the calls in ``table``."""
    return CallSettler(table, counters)
