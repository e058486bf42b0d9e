"""Rows of a record: calls, actions, runs, reports, notes and partitions."""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events

Answer: typing.TypeAlias = (
    actions.Relay | actions.RelayRecorded | actions.RelayHome | actions.Refuse
)
"""An action that answers a call."""

CallRef: typing.TypeAlias = tuple[str, int]
"""An instance incarnation, and the id of one of its calls or attempts."""

ANSWER_TYPES: typing.Final = (
    actions.Relay,
    actions.RelayRecorded,
    actions.RelayHome,
    actions.Refuse,
)
"""The types of ``Answer``, for ``isinstance``."""


class Receipt(typing.NamedTuple):
    """A call that an instance incarnation received."""

    at_ms: clock.Millis
    instance: str
    received: events.CallReceived
    idempotent: bool


class TimedAction(typing.NamedTuple):
    """An action that an instance incarnation decided on."""

    at_ms: clock.Millis
    instance: str
    action: typing.Any


class Run(typing.NamedTuple):
    """A call that a target began to run."""

    at_ms: clock.Millis
    target_id: str
    instance: str
    call_id: int
    key: str


class LeavingReport(typing.NamedTuple):
    """Information on whether a target is leaving, received by an instance."""

    at_ms: clock.Millis
    instance: str
    target_id: str
    leaving: bool


class TimedProbe(typing.NamedTuple):
    """A probe, and the probe budget of its service in reads per second."""

    at_ms: clock.Millis
    instance: str
    service: str
    budget_per_s: int


class AdoptedNote(typing.NamedTuple):
    """The release note that an instance has in force from ``at_ms`` on."""

    at_ms: clock.Millis
    instance: str
    number: int
    digest: str


class Partition(typing.NamedTuple):
    """A time in which ``group`` could not reach the other instances.

    With ``one_way`` only messages from the group are lost. This describes a
    paused process: after the pause it receives its messages and its actions
    are checked.
    """

    group: frozenset[str]
    from_ms: clock.Millis
    until_ms: clock.Millis = math.inf
    one_way: bool = False
