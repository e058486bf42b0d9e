"""Instances' calls to the store of a virtual fleet."""

import dataclasses
import random
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events
from oleanderstair.emulator import links, timeline, watched_store

STORE: typing.Final = 'store'
ANSWER_MS: typing.Final[clock.Millis] = 4

Tell: typing.TypeAlias = typing.Callable[[str, events.Event], None]
Result: typing.TypeAlias = typing.Callable[[], events.Event]


@dataclasses.dataclass(slots=True, eq=False)
class Watch:
    """A watch that waits; a silent one waits for an answer that was lost."""

    incarnation: str
    end: str
    after_revision: int
    silent: bool = False


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
        self._watches: list[Watch] = []
        self.store.on_change.append(self._end_watches)

    def read(
        self,
        incarnation: str,
        end: str,
        action: actions.ReadStore,
    ) -> None:
        """Read the whole store for an instance."""
        self._ask(incarnation, end, action.bound_ms, self.store.read)

    def watch(
        self,
        incarnation: str,
        end: str,
        action: actions.WatchStore,
    ) -> None:
        """Wait for a change for an instance."""
        self.store.calls += 1
        bound_ms = action.bound_ms + action.slack_ms
        if self._is_unreachable(end):
            self._fail(incarnation, 'no answer in time', bound_ms)
        elif self.store.refuses(end):
            self._fail(incarnation, 'status 503', self._trip_ms(end))
        else:
            self._wait(incarnation, end, action, bound_ms)

    def _wait(
        self,
        incarnation: str,
        end: str,
        action: actions.WatchStore,
        bound_ms: clock.Millis,
    ) -> None:
        watch = Watch(incarnation, end, action.after_revision)
        self._watches.append(watch)
        self._times.after(action.bound_ms, lambda: self._end_watch(watch))
        self._times.after(bound_ms, lambda: self._give_up(watch))
        if self._has_news(action.after_revision):
            self._end_watch(watch)

    def cut_watches(self) -> None:
        """Fail all watches that wait, as a store that goes down does."""
        waiting = tuple(self._watches)
        self._watches.clear()
        for watch in waiting:
            lost_ms = self._trip_ms(watch.end)
            self._fail(watch.incarnation, 'connection lost', lost_ms)

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

    def _end_watch(self, watch: Watch) -> None:
        if watch not in self._watches or watch.silent:
            return
        if self._is_unreachable(watch.end):
            # What is lost on a connection is not said on it again.
            watch.silent = True
            return
        self._watches.remove(watch)
        event: events.Event = events.HistoryLost()
        if not self.store.is_forgotten(watch.after_revision):
            event = self.store.changes_after(watch.after_revision)
        self._times.after(
            self._trip_ms(watch.end),
            lambda: self._tell(watch.incarnation, event),
        )

    def _give_up(self, watch: Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._fail(watch.incarnation, 'no answer in time', 0)

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
