"""Token buckets that limit retries and hedges to a share of the calls."""

import typing

from oleanderstair import clock
from oleanderstair.domain.tables import budgets

_MAX_TOKENS: typing.Final = 10
_INITIAL_TOKENS: typing.Final = 2
"""The tokens that a new bucket has before the share of its first call."""

_Buckets: typing.TypeAlias = dict[str, budgets.TokenBucket]


def add_share(
    buckets: _Buckets,
    service: str,
    share: float,
    now_ms: clock.Millis,
) -> None:
    """Add ``share`` tokens for one call of a service, up to a maximum.

    If ``share`` is 0, remove the bucket with its tokens.
    """
    if share <= 0:
        buckets.pop(service, None)
        return
    initial = budgets.TokenBucket(_INITIAL_TOKENS, now_ms)
    tokens = buckets.get(service, initial).tokens + share
    buckets[service] = budgets.TokenBucket(min(tokens, _MAX_TOKENS), now_ms)


def take_token(buckets: _Buckets, service: str, now_ms: clock.Millis) -> bool:
    """Take one token; return False if the service has less than one."""
    bucket = buckets.get(service)
    if bucket is None or bucket.tokens < 1:
        return False
    buckets[service] = budgets.TokenBucket(bucket.tokens - 1, now_ms)
    return True
