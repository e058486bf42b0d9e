"""Callers of a virtual fleet: open-loop demand by kind, and their retries."""

import dataclasses
import functools
import math
import random
import typing

from oleanderstair import clock
from oleanderstair.domain import events, outcomes
from oleanderstair.domain.fleet import caller_addresses
from oleanderstair.emulator import gateway_fleet, plans

CALLER_MS: typing.Final[clock.Millis] = 3
"""One way between a caller and an instance."""

CONNECT_MS: typing.Final[clock.Millis] = 1000
"""How long a caller waits for a connection where nobody answers."""

_MS_PER_S: typing.Final = 1000
_LONGEST_WAIT_SHARE: typing.Final = 1 / 3


ANSWER_MS: typing.Final[clock.Millis] = 2000
"""How long a caller keeps an answer of the directory."""

_CALLERS: typing.Final = 20


class Caller(typing.NamedTuple):
    """One of the callers of a host in a data centre."""

    data_centre: str
    host: str
    number: int


class _Answer(typing.NamedTuple):
    """The instances that a caller was named, and until when it keeps them."""

    instance_ids: tuple[str, ...]
    until_ms: clock.Millis


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """What one caller wants, over all of its attempts; times in ms.

    ``limit_ms`` is how long the caller waits for it in all.
    """

    kind: plans.Kind
    data_centre: str
    started_ms: clock.Millis
    limit_ms: clock.Millis = 0
    attempts: int = 0
    ended_ms: clock.Millis | None = None
    served: bool = False
    refused: bool = False

    @property
    def latency_ms(self) -> clock.Millis:
        """Return how long the caller waited for its last answer."""
        if self.ended_ms is None:
            return self.limit_ms
        return self.ended_ms - self.started_ms

    @property
    def in_aim(self) -> bool:
        """Return whether it was served while it was worth most."""
        return self.served and self.latency_ms <= self.kind.aim_ms


class Demand:
    """Requests of all kinds of a plan, sent whether or not they are answered.

    ``strength`` multiplies the rates, and ``kind_strengths`` those of single
    kinds by name; tests may change them while it runs.
    """

    def __init__(
        self,
        fleet: gateway_fleet.GatewayFleet,
        plan: plans.Plan,
        seed: int,
    ) -> None:
        """Send nothing until ``run_for``."""
        self.requests: list[Request] = []
        self.strength: float = 1
        self.kind_strengths: dict[str, float] = {}
        self._fleet = fleet
        self._plan = plan
        self._until_ms: clock.Millis = 0
        self._arrivals = random.Random(f'arrivals {seed}')
        self._choices = random.Random(f'choices {seed}')
        self._open_by_call: dict[int, Request] = {}
        self._answer_by_caller: dict[Caller, _Answer] = {}
        fleet.on_told.append(self._on_told)

    def run_for(self, span_ms: clock.Millis) -> None:
        """Send requests for a time, and let that time pass."""
        self._until_ms = self._fleet.times.now_ms() + span_ms
        for kind in self._plan.kinds:
            self._wait_for_next(kind)
        self._fleet.run_for(span_ms)

    def _wait_for_next(self, kind: plans.Kind) -> None:
        now_ms = self._fleet.times.now_ms()
        strength = self.strength * self.kind_strengths.get(kind.name, 1)
        per_ms = kind.per_s * self._wave(now_ms) * strength / _MS_PER_S
        after_ms = self._arrivals.expovariate(per_ms)
        if now_ms + after_ms < self._until_ms:
            self._fleet.times.after(
                after_ms,
                functools.partial(self._arrive, kind),
            )

    def _wave(self, now_ms: clock.Millis) -> float:
        turns = now_ms / self._plan.wave_ms
        return 1 + self._plan.wave * math.sin(2 * math.pi * turns)

    def _arrive(self, kind: plans.Kind) -> None:
        self._wait_for_next(kind)
        shares = self._plan.instances_by_data_centre
        data_centre = self._arrivals.choices(
            tuple(shares),
            weights=tuple(shares.values()),
        )[0]
        limit_ms = kind.deadline_ms
        if kind.deadline_spread:
            limit_ms *= 1 - kind.deadline_spread * self._arrivals.random()
        now_ms = self._fleet.times.now_ms()
        request = Request(kind, data_centre, now_ms, limit_ms)
        self.requests.append(request)
        self._attempt(request)

    def _attempt(self, request: Request) -> None:
        now_ms = self._fleet.times.now_ms()
        left_ms = request.started_ms + request.limit_ms - now_ms
        if left_ms <= 0 or request.attempts > request.kind.retries:
            request.ended_ms = now_ms
            return
        request.attempts += 1
        request.refused = False
        instance_id = self._choose(request)
        if instance_id is None:
            again = functools.partial(self._attempt, request)
            self._fleet.times.after(CONNECT_MS, again)
            return
        self._fleet.times.after(
            CALLER_MS,
            lambda: self._send(request, instance_id, left_ms),
        )

    def _send(
        self,
        request: Request,
        instance_id: str,
        left_ms: clock.Millis,
    ) -> None:
        call_id = self._fleet.call(
            instance_id,
            request.kind.name,
            deadline_ms=left_ms,
            host=request.kind.host,
            method='GET' if request.kind.idempotent else 'POST',
            prepare=lambda given: self._open_by_call.update({given: request}),
        )
        self._fleet.times.after(
            left_ms,
            lambda: self._give_up(call_id, instance_id),
        )

    def _give_up(self, call_id: int, instance_id: str) -> None:
        request = self._open_by_call.pop(call_id, None)
        if request is not None:
            request.ended_ms = self._fleet.times.now_ms()
            self._fleet.step(instance_id, events.CallerLeft(call_id))

    def _on_told(self, call_id: int, told: gateway_fleet.Told) -> None:
        request = self._open_by_call.pop(call_id, None)
        if request is not None:
            self._fleet.times.after(
                CALLER_MS,
                lambda: self._take(request, told),
            )

    def _take(self, request: Request, told: gateway_fleet.Told) -> None:
        now_ms = self._fleet.times.now_ms()
        ran = told.outcome is outcomes.Outcome.RAN
        request.ended_ms = now_ms
        request.served = ran and told.status < outcomes.MIN_ERROR_STATUS
        request.refused = told.outcome is outcomes.Outcome.NOT_RUN
        if request.served or request.attempts > request.kind.retries:
            return
        if request.refused or request.kind.idempotent:
            left_ms = request.started_ms + request.limit_ms - now_ms
            longest_ms = max(left_ms, 0) * _LONGEST_WAIT_SHARE
            self._fleet.times.after(
                min(told.retry_after_ms, longest_ms),
                lambda: self._attempt(request),
            )

    def _choose(self, request: Request) -> str | None:
        """Return a live instance that the directory has named to a caller."""
        caller = Caller(
            request.data_centre,
            request.kind.host,
            self._choices.randrange(_CALLERS),
        )
        now_ms = self._fleet.times.now_ms()
        known = self._answer_by_caller.get(caller, _Answer((), 0))
        found = self._living(known.instance_ids)
        if now_ms >= known.until_ms or not found:
            named = self._ask(caller)
            until_ms = now_ms + ANSWER_MS
            self._answer_by_caller[caller] = _Answer(named, until_ms)
            found = self._living(named)
        return self._choices.choice(found) if found else None

    def _living(self, instance_ids: tuple[str, ...]) -> list[str]:
        members = self._fleet.member_by_id
        return [
            instance_id
            for instance_id in instance_ids
            if members[instance_id].alive
        ]

    def _ask(self, caller: Caller) -> tuple[str, ...]:
        """Return whom a ready instance names, one near the caller first."""
        ready = [
            member
            for member in self._fleet.member_by_id.values()
            if member.is_ready
        ]
        near = [
            member
            for member in ready
            if member.state.identity.data_centre == caller.data_centre
        ]
        if not ready:
            return ()
        asked = self._choices.choice(near or ready)
        found = caller_addresses.choose_addresses(
            asked.state,
            caller.host,
            caller.data_centre,
        )
        return tuple(address.rpartition(':')[0] for address in found)
