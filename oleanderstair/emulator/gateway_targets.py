"""A target on the virtual clock: slots, a queue, neighbours and faults."""

import dataclasses
import enum
import math
import random
import typing

from oleanderstair import clock
from oleanderstair.domain import events
from oleanderstair.domain.tables import load_reports
from oleanderstair.emulator import neighbours, timeline

_OK: typing.Final = 200
_FAILED: typing.Final = 500
_TIMED_OUT: typing.Final = 504
_CROWDED_FROM: typing.Final = 0.8
_SECOND_MS: typing.Final[clock.Millis] = 1000
_WORK_MS: typing.Final[clock.Millis] = 40


class Behaviour(enum.Enum):
    """What a target does with a call."""

    SERVE = 'serve'
    FAIL = 'fail'
    SHED = 'shed'
    HANG = 'hang'
    LOSE_ANSWER = 'lose-answer'
    GONE = 'gone'


class Reply(typing.NamedTuple):
    """What the instance sees of an exchange's end."""

    verdict: events.Verdict
    status: int = 0
    crashed: bool = False
    misdirected: bool = False
    load: load_reports.Report | None = None
    leaving: bool = False
    limit_per_s: float | None = None


Answer: typing.TypeAlias = typing.Callable[[Reply], None]


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """One call at a target; ``answer`` is told its end at the target."""

    received: events.CallReceived
    stop_at_ms: clock.Millis
    answer: Answer
    on_run: typing.Callable[[], None]


class GatewayTarget:
    """A target of an instance that carries calls on routes.

    Tests change ``behaviour``, ``leaving``, ``limit_per_s``, ``fail_share``,
    ``shed_share`` and the fields of ``machine`` while it runs. ``work`` draws
    the ms of a run. ``shed_share`` is the share of arrivals that is shed even
    if slots are free. While cold it crashes if more than ``max_cold_arrivals``
    calls come within a second; ``cold_arrivals_at_ms`` are the times of those
    that came.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        data_centre: str,
        slots: int = 4,
        seed: int = 1,
    ) -> None:
        """Serve ``slots`` calls at once without noise or a fault."""
        self.target_id = target_id
        self.service = service
        self.data_centre = data_centre
        self.address = f'{target_id}:80'
        self.slots = slots
        self.queue = 2 * slots
        self.hangs_when_full = True
        self.born_ms = 1
        self.rng = random.Random(f'{target_id} {seed}')
        self.machine = neighbours.Neighbours(
            neighbours.NONE,
            random.Random(f'neighbours {target_id} {seed}'),
        )
        self.work: typing.Callable[
            [events.CallReceived, random.Random],
            clock.Millis,
        ] = lambda received, rng: _WORK_MS
        self.crowded_factor = 1.0
        self.behaviour = Behaviour.SERVE
        self.fail_share: float = 0
        self.shed_share: float = 0
        self.crashing_paths: set[str] = set()
        self.leaving = False
        self.limit_per_s: float | None = None
        self.max_cold_arrivals: float = math.inf
        self.cold_arrivals_at_ms: list[clock.Millis] = []
        self.cold_crashes = 0
        self.lying_report: load_reports.Report | None = None
        self.reads = 0
        self.arrivals = 0
        self.sheds = 0
        self.running: dict[Exchange, clock.Millis] = {}
        self.waiting: list[Exchange] = []

    def bind(self, times: timeline.Timeline) -> None:
        """Run on the clock of ``times``."""
        self.times = times

    def report(self) -> load_reports.Report | None:
        """Return what the health path says; None where nothing answers."""
        self.reads += 1
        if self.behaviour in {Behaviour.HANG, Behaviour.GONE}:
            return None
        cold_ms = self.machine.cold_until_ms - self.times.now_ms()
        return self.load()._replace(slow_start_ms=max(cold_ms, 0))

    def load(self) -> load_reports.Report:
        """Return the load that answers carry."""
        if self.lying_report is not None:
            return self.lying_report
        return load_reports.Report(
            len(self.running),
            len(self.waiting),
            self.slots,
            self.machine.slowness_at(self.times.now_ms()),
        )

    def take(self, exchange: Exchange) -> None:
        """Run, queue, shed or swallow a call that arrives."""
        self.arrivals += 1
        if self._is_crashed_by_arrival():
            self.cold_crashes += 1
            self.crash()
        if self.behaviour is Behaviour.GONE:
            exchange.answer(Reply(events.Verdict.NOT_SENT, crashed=True))
        elif self.behaviour is Behaviour.SHED:
            self._shed(exchange)
        elif self.shed_share and self.rng.random() < self.shed_share:
            self._shed(exchange)
        else:
            self._take_in(exchange)

    def turn_cold(self, cold_ms: clock.Millis) -> None:
        """Work at half of the speed for a time, without a restart."""
        self.machine.cold_until_ms = self.times.now_ms() + cold_ms
        self.machine.cold_factor = 2

    def _is_crashed_by_arrival(self) -> bool:
        """Note a call that arrives at a cold target; say if it is too many."""
        now_ms = self.times.now_ms()
        if self.behaviour is Behaviour.GONE:
            return False
        if now_ms >= self.machine.cold_until_ms:
            return False
        self.cold_arrivals_at_ms.append(now_ms)
        recent = [
            at_ms
            for at_ms in self.cold_arrivals_at_ms
            if at_ms > now_ms - _SECOND_MS
        ]
        return len(recent) > self.max_cold_arrivals

    def _take_in(self, exchange: Exchange) -> None:
        if len(self.running) < self.slots:
            self._run(exchange)
        elif len(self.waiting) < self.queue:
            self.waiting.append(exchange)
        elif not self.hangs_when_full:
            self._shed(exchange)

    def drop(self, exchange: Exchange) -> None:
        """Stop work on a call whose connection closed."""
        if exchange in self.waiting:
            self.waiting.remove(exchange)
        if self.running.pop(exchange, None) is not None:
            self._take_waiting()

    def crash(self) -> None:
        """Reset every exchange; nothing is reachable here from now on."""
        lost = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self.behaviour = Behaviour.GONE
        for exchange in lost:
            exchange.answer(Reply(events.Verdict.BROKEN, crashed=True))

    def restart(self, cold_ms: clock.Millis, cold_factor: float) -> None:
        """Serve again as another incarnation, slow for ``cold_ms``."""
        self.born_ms += 1
        self.behaviour = Behaviour.SERVE
        self.leaving = False
        self.limit_per_s = None
        self.machine.cold_until_ms = self.times.now_ms() + cold_ms
        self.machine.cold_factor = cold_factor

    def _shed(self, exchange: Exchange) -> None:
        self.sheds += 1
        exchange.answer(
            Reply(
                events.Verdict.SHED,
                load=self.load(),
                leaving=self.leaving,
                limit_per_s=self.limit_per_s,
            ),
        )

    def _run(self, exchange: Exchange) -> None:
        now_ms = self.times.now_ms()
        exchange.on_run()
        if exchange.received.path in self.crashing_paths:
            self.running[exchange] = now_ms
            self.crash()
            return
        ends_ms = self._end_of(exchange)
        self.running[exchange] = ends_ms
        if self.behaviour is not Behaviour.HANG:
            self.times.after(
                min(ends_ms, max(exchange.stop_at_ms, now_ms)) - now_ms,
                lambda: self._finish(exchange),
            )

    def _end_of(self, exchange: Exchange) -> clock.Millis:
        work_ms = self.work(exchange.received, self.rng)
        fill = (len(self.running) + 1) / self.slots
        if fill > _CROWDED_FROM:
            work_ms *= self.crowded_factor
        now_ms = self.times.now_ms()
        return now_ms + work_ms * self.machine.slowness_at(now_ms)

    def _finish(self, exchange: Exchange) -> None:
        ends_ms = self.running.pop(exchange, None)
        if ends_ms is None:
            return
        self._take_waiting()
        if self.behaviour is Behaviour.LOSE_ANSWER:
            return
        status = _OK
        fails = self.rng.random() < self.fail_share
        if self.behaviour is Behaviour.FAIL or fails:
            status = _FAILED
        if ends_ms > exchange.stop_at_ms:
            status = _TIMED_OUT
        exchange.answer(
            Reply(
                events.Verdict.ANSWERED,
                status,
                load=self.load(),
                leaving=self.leaving,
                limit_per_s=self.limit_per_s,
            ),
        )

    def _take_waiting(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            exchange = self.waiting.pop(0)
            if exchange.stop_at_ms <= self.times.now_ms():
                self._shed(exchange)
            else:
                self._run(exchange)
