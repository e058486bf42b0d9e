"""Calls that were in flight on targets that died."""

import dataclasses
import typing

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


@dataclasses.dataclass(slots=True)
class SuspectsTable:
    """Suspects by fingerprint, and the calls that wait to run alone.

    ``call_id_by_target`` names the targets that are set aside for one call.
    """

    suspect_by_fingerprint: dict[str, Suspect] = dataclasses.field(
        default_factory=dict,
    )
    held_call_ids: list[int] = dataclasses.field(default_factory=list)
    call_id_by_target: dict[str, int] = dataclasses.field(default_factory=dict)


def create() -> SuspectsTable:
    """Create a table without suspects."""
    return SuspectsTable()
