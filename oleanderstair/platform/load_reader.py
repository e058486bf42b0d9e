"""Reads the load reports of targets from their health paths.

The reads share the connections of calls, so that a report also proves that
its connection is alive.
"""

import typing

from oleanderstair.domain import actions, events
from oleanderstair.domain.tables import load_reports
from oleanderstair.engine import exchanges, headers
from oleanderstair.platform import dialect

_MAX_BODY_BYTES: typing.Final = 65_536
"""Maximum size of the body of a health path, which isn't used."""


class HealthPathReader:
    """Reads load reports over the connections of calls."""

    def __init__(self, connections: exchanges.ConnectionPool) -> None:
        """Use the pool ``connections``."""
        self._connections = connections

    async def read(
        self,
        action: actions.ReadLoad,
    ) -> load_reports.Report | None:
        """Return a target's load report, or None if the read failed."""
        exchange = await self._connections.exchange(
            _destination_of(action),
            _request_of(action),
            _judge_report,
        )
        return _report_of(exchange)

    def begin_on_idle_connection(
        self,
        action: actions.ReadLoad,
        on_report: typing.Callable[[load_reports.Report | None], None],
    ) -> bool:
        """Start a read on an idle connection without creating a task.

        Return False, with nothing sent, if no idle connection is usable.
        Otherwise ``on_report`` is called once with the report, or with None.
        """
        cancel = self._connections.begin_on_idle_connection(
            _destination_of(action),
            _request_of(action),
            _judge_report,
            lambda exchange: on_report(_report_of(exchange)),
        )
        return cancel is not None


def create(connections: exchanges.ConnectionPool) -> HealthPathReader:
    """Create a reader that shares the pool of connections with calls."""
    return HealthPathReader(connections)


def _judge_report(answer: exchanges.Answer) -> events.Verdict | None:
    # A load report has no request id. An answer with one belongs to a call.
    if headers.find_field(answer.headers, dialect.REQUEST_ID):
        return None
    return events.Verdict.ANSWERED


def _destination_of(action: actions.ReadLoad) -> exchanges.Destination:
    return exchanges.Destination(
        action.target_id,
        action.address,
        fresh=False,
        silence_ms=action.bound_ms,
        born_ms=action.born_ms,
        max_answer_bytes=_MAX_BODY_BYTES,
    )


def _request_of(action: actions.ReadLoad) -> exchanges.Request:
    fields = [(headers.HOST, action.address.encode())]
    return exchanges.Request(b'GET', action.path.encode(), fields, b'')


def _report_of(
    exchange: exchanges.ExchangeResult,
) -> load_reports.Report | None:
    if exchange.answer is None:
        return None
    return dialect.read_load_report(
        headers.index_fields(exchange.answer.headers).field_by_name,
    )
