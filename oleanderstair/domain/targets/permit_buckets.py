"""Token buckets that hold this instance's part of a limit of a target."""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain.tables import budgets

MIN_RATE_PER_S: typing.Final = 0.03
"""The lowest rate of calls to a limited target, so that answers can end the
limit."""

_MS_PER_S: typing.Final = 1000


def tokens_at(
    bucket: budgets.TokenBucket,
    rate_per_s: float,
    max_tokens: float,
    now_ms: clock.Millis,
) -> float:
    """Return the tokens that a bucket holds now."""
    elapsed_ms = max(now_ms - bucket.updated_at_ms, 0)
    return min(bucket.tokens + elapsed_ms / _MS_PER_S * rate_per_s, max_tokens)


def wait_ms(tokens: float, rate_per_s: float) -> clock.Millis:
    """Return the ms until a call is permitted; infinity at a rate of 0."""
    if not rate_per_s:
        return math.inf
    return max(1 - tokens, 0) / rate_per_s * _MS_PER_S
