"""Allowances that a share of the calls of a service earns."""

import typing

from oleanderstair import clock
from oleanderstair.domain.tables import budgets

_MOST_TOKENS: typing.Final = 10
_FIRST_TOKENS: typing.Final = 2

_Buckets: typing.TypeAlias = dict[str, budgets.TokenBucket]


def earn(
    buckets: _Buckets,
    service: str,
    share: float,
    now_ms: clock.Millis,
) -> None:
    """Add what one call of a service earns, up to a fixed reserve."""
    tokens = _tokens(buckets, service) + share
    buckets[service] = budgets.TokenBucket(min(tokens, _MOST_TOKENS), now_ms)


def spend(buckets: _Buckets, service: str, now_ms: clock.Millis) -> bool:
    """Take one token where there is one, and return whether there was."""
    tokens = _tokens(buckets, service)
    if tokens < 1:
        return False
    buckets[service] = budgets.TokenBucket(tokens - 1, now_ms)
    return True


def _tokens(buckets: _Buckets, service: str) -> float:
    bucket = buckets.get(service)
    return bucket.tokens if bucket else _FIRST_TOKENS
