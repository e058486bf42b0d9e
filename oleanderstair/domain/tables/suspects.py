"""Calls that were in flight on targets that died."""

import typing

import msgspec

from oleanderstair import clock


class Death(typing.NamedTuple):
    """A target that died while it ran a call, as seen by any instance."""

    target_id: str
    at_ms: clock.Millis


class Suspect(typing.NamedTuple):
    """A request by its fingerprint, and the deaths beside which it ran.

    ``convicted`` is true once a target died that ran it alone.
    """

    fingerprint: str
    deaths: tuple[Death, ...]
    convicted: bool = False

    @property
    def seen_at_ms(self) -> clock.Millis:
        """Return when the newest death was seen."""
        return self.deaths[-1].at_ms


class SuspectsTable(msgspec.Struct):
    """Suspects by fingerprint, and the calls that wait to run alone.

    ``call_id_by_target`` names the targets that are set aside for one call.
    """

    suspect_by_fingerprint: dict[str, Suspect] = msgspec.field(
        default_factory=dict,
    )
    held_call_ids: list[int] = msgspec.field(default_factory=list)
    call_id_by_target: dict[str, int] = msgspec.field(default_factory=dict)


def create() -> SuspectsTable:
    """Create a table without suspects."""
    return SuspectsTable()
