"""Rows of evidence: what was received, done, seen and cut off."""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events

Answer: typing.TypeAlias = (
    actions.Relay | actions.RelayRecorded | actions.RelayHome | actions.Refuse
)
CallAt: typing.TypeAlias = tuple[str, int]

ANSWERS: typing.Final = (
    actions.Relay,
    actions.RelayRecorded,
    actions.RelayHome,
    actions.Refuse,
)


class Receipt(typing.NamedTuple):
    """A call that an instance incarnation received."""

    at_ms: clock.Millis
    instance: str
    received: events.CallReceived
    idempotent: bool


class Acted(typing.NamedTuple):
    """An action that an instance incarnation asked for."""

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


class Sighting(typing.NamedTuple):
    """What an instance learned of whether a target is leaving."""

    at_ms: clock.Millis
    instance: str
    target_id: str
    leaving: bool


class Reading(typing.NamedTuple):
    """One probe, and the budget of its service in reads per second."""

    at_ms: clock.Millis
    instance: str
    service: str
    budget_per_s: int


class Holding(typing.NamedTuple):
    """The note that an instance has in force from ``at_ms`` on."""

    at_ms: clock.Millis
    instance: str
    number: int
    digest: str


class Cut(typing.NamedTuple):
    """A time in which ``group`` could not reach the other instances.

    A pause is ``one_way``: nobody hears from the group, but what its
    members do when they wake is still judged.
    """

    group: frozenset[str]
    from_ms: clock.Millis
    until_ms: clock.Millis = math.inf
    one_way: bool = False
