"""Updates the load and latency of each service at this instance."""

import typing

from oleanderstair import clock
from oleanderstair.domain import events, world
from oleanderstair.domain.targets import latency_quantiles
from oleanderstair.domain.tables import calls, services

_REFUSALS_PER_ROUND: typing.Final = 3
"""The refusals after which a call may try all targets again."""

_MIN_WAIT_MS: typing.Final = 2
"""The shortest pause of borrowing, before jitter."""

_FIRST_WAIT_SHARE: typing.Final = 0.25
"""The first pause of borrowing, as a share of the median latency."""

_MAX_WAIT_MEDIANS: typing.Final = 1
"""The longest pause of borrowing, as a multiple of the median latency."""

_HEDGE_WIN_WEIGHT: typing.Final = 0.4
"""The weight of the newest hedge in the share of winning hedges."""


def on_dispatch(state: world.World, service: str) -> None:
    """Increment the count of attempts in flight of a service."""
    load = services.load_of(state.services, service)
    services.put_load(
        state.services,
        load._replace(in_flight=load.in_flight + 1),
    )


def decrement_in_flight(state: world.World, service: str) -> None:
    """Decrement the count of attempts in flight of a service."""
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
    """Update the latency of a service by an attempt.

    An answer without a server error is a sample. An attempt that timed out
    raises the longest latency.
    """
    decrement_in_flight(state, call.received.service)
    if event.verdict is events.Verdict.SILENT:
        _raise_longest(state, call.received.service, took_ms)
    if not events.is_success(event):
        return
    load = services.load_of(state.services, call.received.service)
    learned = latency_quantiles.add_latency(load, took_ms)
    if attempt.is_borrowed:
        learned = learned._replace(borrow_wait_ms=load.borrow_wait_ms / 2)
    services.put_load(state.services, learned)


def _raise_longest(
    state: world.World,
    service: str,
    took_ms: clock.Millis,
) -> None:
    """Raise the longest latency to at least that of an unanswered attempt."""
    load = services.load_of(state.services, service)
    longest_ms = max(load.longest_latency_ms, took_ms)
    services.put_load(
        state.services, load._replace(longest_latency_ms=longest_ms)
    )


def on_hedge_ended(state: world.World, service: str, won: bool) -> None:
    """Update the share of hedges that answered before the first attempt."""
    load = services.load_of(state.services, service)
    win_share = load.hedge_win_share + _HEDGE_WIN_WEIGHT * (
        won - load.hedge_win_share
    )
    services.put_load(state.services, load._replace(hedge_win_share=win_share))


def delay_borrowing(
    state: world.World, service: str, now_ms: clock.Millis
) -> None:
    """Stop borrowing slots for a time.

    The time doubles with each stop, up to the median latency of the service.
    An answer from a borrowed slot halves it. Jitter of up to half of it is
    added or subtracted.
    """
    load = services.load_of(state.services, service)
    min_ms = max(load.median_latency_ms * _FIRST_WAIT_SHARE, _MIN_WAIT_MS)
    max_ms = max(load.median_latency_ms * _MAX_WAIT_MEDIANS, _MIN_WAIT_MS)
    wait_ms = min(max(load.borrow_wait_ms * 2, min_ms), max_ms)
    services.put_load(
        state.services,
        load._replace(
            borrow_after_ms=now_ms + wait_ms * (0.5 + state.rng.random()),
            borrow_wait_ms=wait_ms,
        ),
    )


def is_refusal_round_over(state: world.World, call: calls.Call) -> bool:
    """Return whether a call has been refused by enough targets in this round.

    True after every third refusal, once all targets that it may use were
    tried, and while the instance has no share of the service.
    """
    share = state.services.share_by_service.get(call.received.service)
    if call.not_run_count and call.not_run_count % _REFUSALS_PER_ROUND == 0:
        return True
    tried = len(set(call.tried_target_ids))
    return share is None or tried >= len(share.borrowable_target_ids)
