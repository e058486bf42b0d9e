"""Keeps the load of a service at this instance up to date."""

import typing

from oleanderstair import clock
from oleanderstair.domain import events, outcomes, world
from oleanderstair.domain.targets import latencies
from oleanderstair.domain.tables import calls, services

_SHEDS_PER_ROUND: typing.Final = 3
_LEAST_WAIT_MS: typing.Final = 2
_FIRST_WAIT_SHARE: typing.Final = 0.25
_MOST_WAITS: typing.Final = 1
_GAIN_WEIGHT: typing.Final = 0.4


def on_dispatch(state: world.World, service: str) -> None:
    """Count an attempt in flight."""
    load = services.load_of(state.services, service)
    services.put_load(
        state.services,
        load._replace(in_flight=load.in_flight + 1),
    )


def on_released(state: world.World, service: str) -> None:
    """Count an attempt that is no longer in flight."""
    load = services.load_of(state.services, service)
    services.put_load(
        state.services,
        load._replace(in_flight=max(load.in_flight - 1, 0)),
    )


def on_attempt_ended(
    state: world.World,
    call: calls.Call,
    attempt: calls.Attempt,
    event: events.AttemptEnded,
    took_ms: clock.Millis,
) -> None:
    """Learn the latency of an answer; a server error teaches none."""
    on_released(state, call.received.service)
    if event.verdict is events.Verdict.SILENT:
        _lengthen(state, call.received.service, took_ms)
    if (
        event.verdict is not events.Verdict.ANSWERED
        or event.status >= outcomes.FIRST_FAILURE
    ):
        return
    load = services.load_of(state.services, call.received.service)
    learned = latencies.learn(load, took_ms)
    if attempt.borrowed:
        learned = learned._replace(spill_wait_ms=load.spill_wait_ms / 2)
    services.put_load(state.services, learned)


def _lengthen(
    state: world.World,
    service: str,
    took_ms: clock.Millis,
) -> None:
    """Allow for calls that last longer than any that was answered."""
    load = services.load_of(state.services, service)
    longest_ms = max(load.longest_ms, took_ms)
    services.put_load(state.services, load._replace(longest_ms=longest_ms))


def on_hedge_ended(state: world.World, service: str, won: bool) -> None:
    """Learn whether a hedge overtook the first attempt of its call."""
    load = services.load_of(state.services, service)
    gain = load.hedge_gain + _GAIN_WEIGHT * (won - load.hedge_gain)
    services.put_load(state.services, load._replace(hedge_gain=gain))


def hold_back(state: world.World, service: str, now_ms: clock.Millis) -> None:
    """Borrow no slots for a while that doubles until calls are served."""
    load = services.load_of(state.services, service)
    least_ms = max(load.median_ms * _FIRST_WAIT_SHARE, _LEAST_WAIT_MS)
    most_ms = max(load.median_ms * _MOST_WAITS, _LEAST_WAIT_MS)
    wait_ms = min(max(load.spill_wait_ms * 2, least_ms), most_ms)
    services.put_load(
        state.services,
        load._replace(
            spill_after_ms=now_ms + wait_ms * (0.5 + state.rng.random()),
            spill_wait_ms=wait_ms,
        ),
    )


def is_round_over(state: world.World, call: calls.Call) -> bool:
    """Return whether a call has been to enough targets for now."""
    share = state.services.share_by_service.get(call.received.service)
    if call.unrun and call.unrun % _SHEDS_PER_ROUND == 0:
        return True
    tried = len(set(call.tried_target_ids))
    return share is None or tried >= len(share.others)
