"""Calls that were in flight on targets that died."""

import dataclasses
import typing

from oleanderstair import clock


class Suspect(typing.NamedTuple):
    """A fingerprint and how many targets died while running it."""

    fingerprint: str
    deaths: int
    seen_at_ms: clock.Millis


@dataclasses.dataclass(slots=True)
class SuspectsTable:
    """Suspects by fingerprint."""

    suspect_by_fingerprint: dict[str, Suspect] = dataclasses.field(
        default_factory=dict,
    )


def create() -> SuspectsTable:
    """Create a table without suspects."""
    return SuspectsTable()
