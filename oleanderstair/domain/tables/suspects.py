"""Requests that may have crashed the targets that ran them."""

import typing

import msgspec

from oleanderstair import clock


class TargetCrash(typing.NamedTuple):
    """The crash of a target while it ran a call, seen by any instance."""

    target_id: str
    at_ms: clock.Millis


class Suspect(typing.NamedTuple):
    """A request by its fingerprint, and the crashes during which it ran.

    ``is_proven`` is true once a target crashed that ran no other call.
    """

    fingerprint: str
    crashes: tuple[TargetCrash, ...]
    is_proven: bool = False

    @property
    def seen_at_ms(self) -> clock.Millis:
        """Return the time of the newest crash."""
        return self.crashes[-1].at_ms


class SuspectsTable(msgspec.Struct):
    """Suspects by fingerprint, and the calls in quarantine.

    ``quarantined_call_ids`` are the calls that wait for a target without other
    calls. ``call_id_by_reserved_target`` holds the targets reserved for one
    call.
    """

    suspect_by_fingerprint: dict[str, Suspect] = msgspec.field(
        default_factory=dict,
    )
    quarantined_call_ids: list[int] = msgspec.field(default_factory=list)
    call_id_by_reserved_target: dict[str, int] = msgspec.field(
        default_factory=dict
    )


def create() -> SuspectsTable:
    """Create a table without suspects."""
    return SuspectsTable()
