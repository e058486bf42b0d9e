"""Links between the parts of a virtual deployment: delay, loss, cuts."""

import random
import typing

from oleanderstair import clock

ANY: typing.Final = '*'
NEAR_MS: typing.Final[clock.Millis] = 0.2
"""One way within a data centre."""


class Links:
    """One way delays between data centres, and what is cut or lossy.

    Ends are instances, targets and ``store`` by their ids.
    """

    def __init__(self, between_ms: clock.Millis, rng: random.Random) -> None:
        """Deliver all, ``between_ms`` from one data centre to another."""
        self.between_ms = between_ms
        self.loss_share: float = 0
        self.place_by_end: dict[str, str] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._rng = rng

    def cut(self, sender: str, receiver: str = ANY) -> None:
        """Lose all that goes one way; either end may be ``ANY``."""
        self._cuts.add((sender, receiver))

    def isolate(self, end: str) -> None:
        """Lose all that goes to or from an end."""
        self.cut(end)
        self.cut(ANY, end)

    def mend(self) -> None:
        """Deliver all again."""
        self._cuts.clear()

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether nothing gets from one end to the other."""
        return any(
            pair in self._cuts
            for pair in ((sender, receiver), (sender, ANY), (ANY, receiver))
        )

    def delay_ms(self, sender: str, receiver: str) -> clock.Millis:
        """Return the delay one way."""
        places = self.place_by_end
        if places.get(sender) == places.get(receiver):
            return NEAR_MS
        return self.between_ms

    def loses(self, sender: str, receiver: str) -> bool:
        """Return whether one message to a peer is lost."""
        if self.is_cut(sender, receiver):
            return True
        return bool(self.loss_share) and self._rng.random() < self.loss_share
