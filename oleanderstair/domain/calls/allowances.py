"""Allowances that a share of the calls of a service earns."""

import typing

from oleanderstair import clock
from oleanderstair.domain.tables import budgets

_MAX_TOKENS: typing.Final = 10
_INITIAL_TOKENS: typing.Final = 2

_Buckets: typing.TypeAlias = dict[str, budgets.TokenBucket]


def add_share(
    buckets: _Buckets,
    service: str,
    share: float,
    now_ms: clock.Millis,
) -> None:
    """Add what one call of a service earns, up to a fixed reserve.

    A share of none leaves no allowance at all.
    """
    if share <= 0:
        buckets.pop(service, None)
        return
    first = budgets.TokenBucket(_INITIAL_TOKENS, now_ms)
    tokens = buckets.get(service, first).tokens + share
    buckets[service] = budgets.TokenBucket(min(tokens, _MAX_TOKENS), now_ms)


def take_token(buckets: _Buckets, service: str, now_ms: clock.Millis) -> bool:
    """Take one token where there is one, and return whether there was."""
    known = buckets.get(service)
    if known is None or known.tokens < 1:
        return False
    buckets[service] = budgets.TokenBucket(known.tokens - 1, now_ms)
    return True
