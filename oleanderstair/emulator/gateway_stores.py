"""Instances' calls to the store of a virtual fleet."""

import functools
import random
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events
from oleanderstair.emulator import links, timeline, watched_store

STORE: typing.Final = 'store'
ANSWER_MS: typing.Final[clock.Millis] = 4
READ_BOUND_MS: typing.Final[clock.Millis] = 3000
WATCH_SLACK_MS: typing.Final[clock.Millis] = 2000

Tell: typing.TypeAlias = typing.Callable[[str, events.Event], None]
Result: typing.TypeAlias = typing.Callable[[], events.Event]


class StoreCalls:
    """Reads and watches under way; ``tell`` gives an instance the end.

    Instances are named by their incarnation, ends of links by their ids.
    """

    def __init__(
        self,
        times: timeline.Timeline,
        between: links.Links,
        rng: random.Random,
        tell: Tell,
    ) -> None:
        """Answer from an empty store."""
        self.store = watched_store.create()
        self._times = times
        self._links = between
        self._rng = rng
        self._tell = tell
        self._watches: list[tuple[str, str, int]] = []
        self.store.on_change.append(self._end_watches)

    def read(
        self,
        incarnation: str,
        end: str,
        action: actions.ReadStore,
    ) -> None:
        """Read the whole store for an instance."""
        self._ask(incarnation, end, READ_BOUND_MS, self.store.read)

    def watch(
        self,
        incarnation: str,
        end: str,
        action: actions.WatchStore,
    ) -> None:
        """Wait for a change for an instance."""
        self.store.calls += 1
        watch = (incarnation, end, action.after_revision)
        bound_ms = action.bound_ms + WATCH_SLACK_MS
        if self._is_unreachable(end):
            self._fail(incarnation, 'no answer in time', bound_ms)
        elif self.store.refuses(end):
            self._fail(incarnation, 'status 503', self._trip_ms(end))
        else:
            self._watches.append(watch)
            self._times.after(
                action.bound_ms,
                functools.partial(self._end_watch, watch),
            )
            if self._has_news(action.after_revision):
                self._end_watch(watch)

    def cut_watches(self) -> None:
        """Fail all watches that wait, as a store that goes down does."""
        waiting = tuple(self._watches)
        self._watches.clear()
        for incarnation, end, _ in waiting:
            self._fail(incarnation, 'connection lost', self._trip_ms(end))

    def _ask(
        self,
        incarnation: str,
        end: str,
        bound_ms: clock.Millis,
        result: Result,
    ) -> None:
        self.store.calls += 1
        lost = self._rng.random() < self.store.loss_share
        if lost or self._is_unreachable(end):
            self._fail(incarnation, 'no answer in time', bound_ms)
        elif self.store.refuses(end):
            self._fail(incarnation, 'status 503', self._trip_ms(end))
        else:
            self._times.after(
                self._trip_ms(end),
                lambda: self._tell(incarnation, result()),
            )

    def _end_watches(self) -> None:
        for watch in tuple(self._watches):
            self._end_watch(watch)

    def _end_watch(self, watch: tuple[str, str, int]) -> None:
        incarnation, end, after_revision = watch
        if watch not in self._watches or self._is_unreachable(end):
            return
        self._watches.remove(watch)
        event: events.Event = events.HistoryLost()
        if not self.store.is_forgotten(after_revision):
            event = self.store.changes_after(after_revision)
        self._times.after(
            self._trip_ms(end),
            lambda: self._tell(incarnation, event),
        )

    def _fail(
        self,
        incarnation: str,
        what: str,
        after_ms: clock.Millis,
    ) -> None:
        self._times.after(
            after_ms,
            lambda: self._tell(incarnation, events.StoreFailed(what)),
        )

    def _has_news(self, after_revision: int) -> bool:
        forgotten = self.store.is_forgotten(after_revision)
        return forgotten or self.store.revision > after_revision

    def _is_unreachable(self, end: str) -> bool:
        between = self._links
        cut = between.is_cut(end, STORE) or between.is_cut(STORE, end)
        return cut or self.store.silent

    def _trip_ms(self, end: str) -> clock.Millis:
        there_ms = self._links.delay_ms(end, STORE)
        return 2 * there_ms + ANSWER_MS + self.store.slow_ms
