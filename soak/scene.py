"""Plays a plan: stand-ins in this process, instances in their own."""

import contextlib
import dataclasses
import pathlib
import random
import signal
import time
import typing

import anyio
import anyio.abc

from oleanderstair import clock
from oleanderstair.emulator import load_targets, published, standing, store
from oleanderstair.platform import documents
from soak import (
    bounds,
    callers,
    checks,
    instances,
    misbehaving,
    odd_entries,
    plan,
    proxy,
    record,
)

_CALLERS: typing.Final = 8
_SERVICE_MS: typing.Final = 25
_CALLER_BUFFER_BYTES: typing.Final = 65_536
_POLL_S: typing.Final = 0.1
_FAR_S: typing.Final = 60
_TICK_S: typing.Final = 0.02
_STORE_AWAY_S: typing.Final = 0.4
_REWRITE_S: typing.Final = 0.8
_NS_PER_MS: typing.Final = 1_000_000

Tell: typing.TypeAlias = typing.Callable[..., None]
"""Writes one event as a line of key=value pairs."""


class SeenTarget(load_targets.LoadTarget):
    """A target that notes when it begins to run a call, and how it ends."""

    __slots__ = ('seen',)

    seen: record.Record

    async def _behave(
        self,
        scope: typing.Any,
        send: typing.Any,
        request_id: bytes,
    ) -> None:
        ran = self.ran[-1]
        at = len(self.seen.runs)
        run = record.Run(
            ran.request_id,
            self.target_id,
            anyio.current_time(),
            ran.method,
            ran.target,
            ran.body,
        )
        self.seen.runs.append(run)
        end = record.DROPPED
        try:
            await super()._behave(scope, send, request_id)
            serves = self.behaviour is load_targets.Behaviour.SERVE
            end = record.ANSWERED if serves else record.BROKE_OFF
        finally:
            ended_s = anyio.current_time()
            self.seen.runs[at] = run._replace(ended_s=ended_s, end=end)


@dataclasses.dataclass(slots=True)
class Scene:
    """The parts of a running scenario."""

    drawn: plan.Plan
    tasks: anyio.abc.TaskGroup
    tell: Tell
    seen: record.Record = dataclasses.field(default_factory=record.Record)
    kept: store.Store = dataclasses.field(default_factory=store.create)
    link_by_name: dict[str, proxy.Link] = dataclasses.field(
        default_factory=dict,
    )
    entry_by_name: dict[str, instances.Instance] = dataclasses.field(
        default_factory=dict,
    )
    held: dict[str, anyio.Lock] = dataclasses.field(default_factory=dict)
    target_by_id: dict[str, SeenTarget] = dataclasses.field(
        default_factory=dict,
    )
    born_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    state_by_id: dict[str, str] = dataclasses.field(default_factory=dict)
    evacuated: set[str] = dataclasses.field(default_factory=set)
    version: int = 0

    def serve(self, app: typing.Any) -> str:
        """Serve a stand-in on a free port and return its address."""
        return standing.serve(app, self.tasks)

    def link(self, name: str, address: str, buffer_bytes: int = 0) -> str:
        """Put a link before an address and return where it listens."""
        made = proxy.start(address, self.tasks)
        made.buffer_bytes = buffer_bytes
        self.link_by_name[name] = made
        return made.near

    def newest(self) -> int:
        """Return the newest version that the store has confirmed."""
        return self.version

    def publish(self) -> None:
        """Publish the next configuration; the store confirms at once."""
        self.version += 1
        document = _configuration(self.version)
        self.kept.put(documents.CONFIGURATION_KEY, document)
        self.seen.published.append((self.version, anyio.current_time()))

    def register(
        self, target_id: str, state: str, slow_ms: clock.Millis = 0
    ) -> None:
        """Let a target say of itself what it is."""
        if state == 'ready':
            # Who comes back after leaving has started anew.
            self.born_by_id[target_id] = time.time_ns() // _NS_PER_MS
        self.state_by_id[target_id] = state
        self._write_entry(target_id, int(slow_ms))

    def write_entries(self) -> None:
        """Write again what the targets have last written."""
        for target_id in self.state_by_id:
            self._write_entry(target_id)

    def write_evacuations(self) -> None:
        """Write again which data centres the operator has evacuated."""
        for data_centre in set(plan.DATA_CENTRE_BY_TARGET.values()):
            key = f'{documents.EVACUATION_PREFIX}{data_centre}'
            if data_centre in self.evacuated:
                self.kept.put(key, {})
            elif key in self.kept.item_by_key:
                self.kept.remove(key)

    def _write_entry(self, target_id: str, slow_ms: int = 0) -> None:
        entry = published.entry(
            self.link_by_name[f'target:{target_id}'].near,
            service=target_id.rpartition('-')[0],
            data_centre=plan.DATA_CENTRE_BY_TARGET[target_id],
            state=self.state_by_id[target_id],
            born=self.born_by_id[target_id],
            slow_ms=slow_ms,
        )
        self.kept.put(f'{documents.TARGET_PREFIX}{target_id}', entry)


async def play(
    drawn: plan.Plan,
    folder: pathlib.Path,
    tell: Tell,
) -> record.Record:
    """Play a plan in a folder for logs, and return what was seen."""
    async with anyio.create_task_group() as tasks:
        scene = Scene(drawn, tasks, tell)
        _set_up(scene, folder)
        try:
            await _play(scene)
        finally:
            # Also where the scene itself has failed, no process is left.
            with anyio.CancelScope(shield=True):
                for entry in scene.entry_by_name.values():
                    await entry.end(0)
            tasks.cancel_scope.cancel()
    return scene.seen


def _set_up(scene: Scene, folder: pathlib.Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for target_id in plan.TARGETS:
        target = SeenTarget(target_id, service_ms=_SERVICE_MS)
        target.seen = scene.seen
        scene.target_by_id[target_id] = target
        scene.link(f'target:{target_id}', scene.serve(target))
        scene.register(target_id, 'ready')
    scene.publish()
    store_address = scene.serve(scene.kept)
    seeds: list[str] = []
    for number, name in enumerate(plan.INSTANCES, start=1):
        at = scene.link(f'store:{name}', store_address)
        made = instances.create(name, number, folder, at, seeds)
        scene.link(
            f'callers:{name}', made.address('callers'), _CALLER_BUFFER_BYTES
        )
        seeds.append(scene.link(f'peers:{name}', made.address('peers')))
        scene.entry_by_name[name] = made
        scene.held[name] = anyio.Lock()
    scene.seen.instances = plan.INSTANCES


async def _play(scene: Scene) -> None:
    with anyio.fail_after(bounds.START_S):
        for entry in scene.entry_by_name.values():
            entry.write_settings()
            await entry.start()
        for entry in scene.entry_by_name.values():
            await entry.until_ready()
    async with anyio.create_task_group() as around:
        around.start_soon(_watch_stalls, scene.seen)
        await _call_and_harm(scene)
        # What was refused may not run later either.
        await anyio.sleep_until(_last_deadline_s(scene.seen))
        around.cancel_scope.cancel()
    scene.seen.ended_s = anyio.current_time()


async def _call_and_harm(scene: Scene) -> None:
    began_s = anyio.current_time()
    async with anyio.create_task_group() as calling:
        for caller in _callers(scene):
            calling.start_soon(caller.keep_calling)
        async with anyio.create_task_group() as harming:
            for fault in scene.drawn.faults:
                harming.start_soon(_strike, scene, fault, began_s)
            harming.start_soon(anyio.sleep, scene.drawn.seconds)
        scene.seen.quiet_from_s = anyio.current_time()
        for entry in scene.entry_by_name.values():
            if not entry.is_running:
                scene.seen.ended_alone.append(entry.name)
        with anyio.move_on_after(_FAR_S):
            while not _is_recovered(scene.seen):
                await anyio.sleep(_POLL_S)
        calling.cancel_scope.cancel()


def _last_deadline_s(seen: record.Record) -> float:
    """Return until when a refused call may run after all."""
    deadlines_s = [
        call.due_s for call in seen.calls if call.status in checks.NOT_RUN
    ]
    since_s = anyio.current_time() + bounds.LATE_RUNS_S
    return max(since_s, *deadlines_s, 0)


def _callers(scene: Scene) -> list[callers.Caller]:
    return [
        callers.Caller(
            name=f'{scene.drawn.seed}-{number}',
            rng=random.Random(f'{scene.drawn.seed} {number}'),
            seen=scene.seen,
            entries=list(scene.entry_by_name.values()),
            address_by_name={
                name: scene.link_by_name[f'callers:{name}'].near
                for name in scene.entry_by_name
            },
            version=scene.newest,
            slow_rng=random.Random(f'{scene.drawn.seed} slow {number}'),
            habit_rng=random.Random(f'{scene.drawn.seed} habit {number}'),
        )
        for number in range(_CALLERS)
    ]


def _is_recovered(seen: record.Record) -> bool:
    return all(
        checks.recovered_s(seen, name) < checks.NEVER_S
        for name in seen.instances
    )


async def _watch_stalls(seen: record.Record) -> None:
    before_s = anyio.current_time()
    while True:
        await anyio.sleep(_TICK_S)
        now_s = anyio.current_time()
        if now_s - before_s > bounds.STALL_S:
            seen.stalls.append(record.Span('soak', before_s, now_s))
        before_s = now_s


# Faults


async def _strike(scene: Scene, fault: plan.Fault, began_s: float) -> None:
    await anyio.sleep_until(began_s + clock.to_seconds(fault.at_ms))
    if fault.kind is plan.Kind.PUBLISH:
        scene.publish()
        scene.tell('published', version=scene.version)
        return
    scene.tell('fault', what=fault.kind.value, where=fault.where)
    spans = scene.seen.harmed
    if fault.kind in plan.PLANNED:
        spans = scene.seen.planned
    strike = _STRIKE_BY_KIND[fault.kind]
    if fault.kind in _NOT_STRIKING:
        await strike(scene, fault)
    else:
        with _noted(spans, fault.where):
            await strike(scene, fault)
    scene.tell('over', what=fault.kind.value, where=fault.where)


@contextlib.contextmanager
def _noted(
    spans: list[record.Span],
    where: str,
) -> typing.Iterator[None]:
    """Keep a span among others; while it lasts it has no end."""
    span = record.Span(where, anyio.current_time(), checks.NEVER_S)
    spans.append(span)
    yield
    spans.remove(span)
    spans.append(span._replace(until_s=anyio.current_time()))


async def _stop(scene: Scene, fault: plan.Fault) -> None:
    entry = scene.entry_by_name[fault.where]
    life = entry.life
    from_s = anyio.current_time()
    if entry.signal(signal.SIGTERM) and await entry.end(bounds.STOP_S):
        span = record.Span(fault.where, from_s, anyio.current_time())
        scene.seen.late_stops.append(span)
        scene.tell('stopped-late', where=fault.where)
    await _start(scene, fault, life)


async def _kill(scene: Scene, fault: plan.Fault) -> None:
    entry = scene.entry_by_name[fault.where]
    life = entry.life
    entry.signal(signal.SIGKILL)
    await entry.end(0)
    await _start(scene, fault, life)


async def _start(scene: Scene, fault: plan.Fault, life: int) -> None:
    """Start an ended instance, unless another fault has done so."""
    ended_s = anyio.current_time()
    await anyio.sleep(clock.to_seconds(fault.span_ms))
    entry = scene.entry_by_name[fault.where]
    async with scene.held[fault.where]:
        if entry.life == life and not entry.is_running:
            now_s = anyio.current_time()
            scene.seen.down.append(record.Span(fault.where, ended_s, now_s))
            await entry.start()
    with anyio.move_on_after(_FAR_S):
        await entry.until_ready()


async def _pause(scene: Scene, fault: plan.Fault) -> None:
    entry = scene.entry_by_name[fault.where]
    entry.signal(signal.SIGSTOP)
    await anyio.sleep(clock.to_seconds(fault.span_ms))
    entry.signal(signal.SIGCONT)


async def _reload(scene: Scene, fault: plan.Fault) -> None:
    await scene.entry_by_name[fault.where].reload()


async def _leave(scene: Scene, fault: plan.Fault) -> None:
    if any(
        span.where == fault.where and span.until_s == checks.NEVER_S
        for span in scene.seen.leaving
    ):
        # It leaves already, and comes back once.
        return
    scene.register(fault.where, 'leaving')
    with _noted(scene.seen.leaving, fault.where):
        await anyio.sleep(clock.to_seconds(fault.span_ms))
        scene.register(fault.where, 'ready')


async def _limit(scene: Scene, fault: plan.Fault) -> None:
    target = scene.target_by_id[fault.where]
    if target.limit:
        # It limits its calls already, and ends that once.
        return
    target.limit = str(bounds.LIMIT_PER_S).encode()
    with _noted(scene.seen.limited, fault.where):
        await anyio.sleep(clock.to_seconds(fault.span_ms))
    target.limit = b''


async def _turn_cold(scene: Scene, fault: plan.Fault) -> None:
    """Let all targets return cold at once, without an end of connections.

    Half of them say so in their entry, as those that have started anew.
    """
    now_s = anyio.current_time()
    until_s = now_s + clock.to_seconds(fault.span_ms)
    for number, target_id in enumerate(plan.TARGETS):
        scene.target_by_id[target_id].cold_until_s = until_s
        scene.seen.cold.append(record.Span(target_id, now_s, until_s))
        if number % 2 and scene.state_by_id[target_id] == 'ready':
            scene.register(target_id, 'ready', fault.span_ms)
    await anyio.sleep_until(until_s)


async def _restore(scene: Scene, fault: plan.Fault) -> None:
    """Let the store come back from a copy as old as the fault is long.

    The copy lacks a configuration that instances know. The next one is the
    first that is written afterwards.
    """
    copy = scene.kept.copy()
    await anyio.sleep(clock.to_seconds(fault.span_ms))
    scene.publish()
    await anyio.sleep(_STORE_AWAY_S)
    with _noted(scene.seen.harmed, fault.where):
        scene.kept.fault = store.Fault.DOWN
        await anyio.sleep(_STORE_AWAY_S)
        scene.kept.restore(copy)
        scene.kept.fault = store.Fault.NONE
        await anyio.sleep(_REWRITE_S)
        scene.publish()
        scene.write_entries()
        scene.write_evacuations()


async def _evacuate(scene: Scene, fault: plan.Fault) -> None:
    scene.evacuated.add(fault.where)
    scene.write_evacuations()
    with _noted(scene.seen.evacuated, fault.where):
        await anyio.sleep(clock.to_seconds(fault.span_ms))
    scene.evacuated.remove(fault.where)
    scene.write_evacuations()


async def _put_odd_entry(scene: Scene, fault: plan.Fault) -> None:
    key = f'{documents.TARGET_PREFIX}odd-{fault.where}'
    scene.kept.put(key, odd_entries.BY_NAME[fault.where])
    await anyio.sleep(clock.to_seconds(fault.span_ms))
    scene.kept.remove(key)


async def _misbehave(scene: Scene, fault: plan.Fault) -> None:
    entry = scene.entry_by_name[fault.where]
    await misbehaving.crowd(
        entry.address('callers'), clock.to_seconds(fault.span_ms)
    )
    if entry.has_exceeded_memory():
        scene.seen.ended_alone.append(f'{fault.where} exceeded its memory')


async def _sever(scene: Scene, fault: plan.Fault) -> None:
    """Let open connections of an instance go silent.

    Some lead to the others, so that all count as struck at that moment.
    """
    now_s = anyio.current_time()
    scene.seen.harmed.extend(
        record.Span(name, now_s, now_s) for name in scene.entry_by_name
    )
    scene.entry_by_name[fault.where].sever()


async def _harm(scene: Scene, fault: plan.Fault) -> None:
    link = scene.link_by_name[fault.where]
    with link.harmed(fault):
        await anyio.sleep(clock.to_seconds(fault.span_ms))


_Strike: typing.TypeAlias = typing.Callable[
    [Scene, plan.Fault],
    typing.Coroutine[typing.Any, typing.Any, None],
]
_NOT_STRIKING: typing.Final = frozenset(
    (
        plan.Kind.RELOAD,
        plan.Kind.LEAVE,
        plan.Kind.LIMIT,
        plan.Kind.RESTORE,
        plan.Kind.ODD_ENTRY,
        plan.Kind.EVACUATE,
        plan.Kind.COLD,
        plan.Kind.MISBEHAVE,
    ),
)
"""The kinds of faults that excuse no instance for as long as they take."""

_STRIKE_BY_KIND: typing.Final[dict[plan.Kind, _Strike]] = {
    plan.Kind.STOP: _stop,
    plan.Kind.KILL: _kill,
    plan.Kind.PAUSE: _pause,
    plan.Kind.RELOAD: _reload,
    plan.Kind.LEAVE: _leave,
    plan.Kind.LIMIT: _limit,
    plan.Kind.COLD: _turn_cold,
    plan.Kind.RESTORE: _restore,
    plan.Kind.ODD_ENTRY: _put_odd_entry,
    plan.Kind.SEVER: _sever,
    plan.Kind.EVACUATE: _evacuate,
    plan.Kind.MISBEHAVE: _misbehave,
    **dict.fromkeys(plan.LINKS, _harm),
}


def _configuration(number: int) -> published.Document:
    """Return a configuration whose number a route of its own shows."""
    told_by_name = {
        'lookup': ('idempotent', 'burza'),
        'stock': ('idempotent', 'sklad'),
        'order': ('once', 'burza'),
        f'v{number}': ('idempotent', 'sklad'),
    }
    routes = [
        published.route(name, kind, service, bounds.TIMEOUT_MS)
        for name, (kind, service) in told_by_name.items()
    ]
    made = published.configuration(number, routes, standing.IDLE_MS)
    for service in made['services']:
        service['slow_start_s'] = bounds.COLD_S
        service['slow_start_per_s'] = bounds.COLD_PER_S
    return made
