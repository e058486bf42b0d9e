"""Reads the load of targets from their health paths."""

import typing

from oleanderstair.domain import actions, events
from oleanderstair.domain.tables import load_reports
from oleanderstair.engine import exchanges, headers
from oleanderstair.platform import dialect

_MAX_ANSWER_BYTES: typing.Final = 4096


class HealthPathReader:
    """Health paths over connections apart from those of calls."""

    def __init__(self) -> None:
        """Start without connections."""
        self._connections = exchanges.create(_MAX_ANSWER_BYTES)

    async def read(
        self,
        action: actions.ReadLoad,
    ) -> load_reports.Report | None:
        """Return the report of a target, None where it can't be had."""
        place = exchanges.Place(
            action.target_id,
            action.address,
            fresh=False,
            silence_ms=action.bound_ms,
        )
        fields = [(headers.HOST, action.address.encode())]
        request = exchanges.Request(b'GET', action.path.encode(), fields, b'')
        ended = await self._connections.exchange(place, request, _take_any)
        if ended.answer is None:
            return None
        return dialect.read_load(
            headers.index(ended.answer.headers).field_by_name,
        )


def create() -> HealthPathReader:
    """Create a reader without connections."""
    return HealthPathReader()


def _take_any(answer: exchanges.Answer) -> events.Verdict:
    return events.Verdict.ANSWERED
