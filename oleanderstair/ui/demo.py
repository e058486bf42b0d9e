"""Brings up a small deployment on loopback and shows its promises held."""

import collections
import dataclasses
import typing

import anyio
import cappa

from oleanderstair import clock
from oleanderstair.domain.tables import instances
from oleanderstair.emulator import callers, fleet, targets
from oleanderstair.engine import node
from oleanderstair.ui import output

_INSTANCES: typing.Final = 5
BOUND_MS = 28_000
"""When the demo ends, whatever was seen."""

STEP_BOUND_MS = 14_000
"""How long one outcome is waited for."""

_POLL_MS: typing.Final = 20
_LOOKUPS: typing.Final = 100
_BACKGROUND_CALLERS: typing.Final = 4
_RAMP_CALLS: typing.Final = 12
_CREST_CALLERS: typing.Final = 36
_CREST_SERVICE_MS: typing.Final = 40
_MOVED: typing.Final = 'burza-01'
_SERVICES: typing.Final = ('burza', 'sklad')
_DEADLINE_MS: typing.Final = 10_000
"""How long callers wait; a busy machine may hold up the whole process."""
_MAX_TICK_AGE_MS: typing.Final = 10_000
"""How long the process may be held up before its instances call it a pause."""
_LIMITS: typing.Final = {
    'answer_validity_ms': 1000,
    'max_tick_age_ms': _MAX_TICK_AGE_MS,
}
_EXPECTED: typing.Final = frozenset(('ran', 'not-run stopping', 'not-sent'))


class Shown(typing.TypedDict):
    """The outcome of one step, and what it was read from."""

    step: str
    held: bool
    seconds: float
    evidence: str


class Verdict(typing.NamedTuple):
    """Whether a step held, as the fakes counted."""

    held: bool
    evidence: str


@dataclasses.dataclass(slots=True)
class Scene:
    """The running deployment and its callers."""

    deployment: fleet.Fleet
    nodes: list[node.Node]
    caller: callers.Caller
    background: list[callers.Caller]
    shown: list[Shown] = dataclasses.field(default_factory=list)

    @property
    def moved(self) -> targets.Target:
        """Return the target that is withdrawn and brought back."""
        return self.deployment.target_by_id[_MOVED]

    def served(self) -> int:
        """Return how many calls all targets have begun to run."""
        members = self.deployment.target_by_id.values()
        return sum(target.served for target in members)


Step: typing.TypeAlias = typing.Callable[[Scene], typing.Awaitable[Verdict]]


def run_demo(command: 'Demo') -> None:
    """Run the demo; exit 0 only where every outcome held."""
    shown = anyio.run(_run, command.json)
    if command.json:
        output.show(shown, as_json=True)
    all_held = len(shown) == len(_STEPS) and all(row['held'] for row in shown)
    if not command.json:
        output.show(shown, as_json=False, left_out=('evidence',))
        missing = len(_STEPS) - sum(row['held'] for row in shown)
        output.line(
            'Every outcome held.'
            if all_held
            else f'{missing} of {len(_STEPS)} outcomes did not hold.',
        )
    raise SystemExit(0 if all_held else 1)


@cappa.command(name='demo', invoke=run_demo)
@dataclasses.dataclass
class Demo:
    """Show the whole path on loopback, without any platform.

    Brings up a configuration service, an instance list, 27 targets and five
    entry instances, makes calls, and checks each outcome by what the
    targets counted. Ends by itself within 40 s.
    """

    json: output.AsJson = False


async def _run(quiet: bool) -> list[Shown]:
    shown: list[Shown] = []
    with anyio.move_on_after(clock.to_seconds(BOUND_MS)):
        async with anyio.create_task_group() as tasks, callers.pool() as pool:
            deployment = fleet.create(fleet.COOPERATIVE, tasks)
            nodes = [
                deployment.start_node(f'entry-{number}', _LIMITS)
                for number in range(1, _INSTANCES + 1)
            ]
            ask_at = [started.identity.caller_address for started in nodes]
            scene = Scene(
                deployment,
                nodes,
                callers.create(ask_at, pool, deadline_ms=_DEADLINE_MS),
                [
                    callers.create(ask_at, pool, seed, _DEADLINE_MS)
                    for seed in range(2, 2 + _BACKGROUND_CALLERS)
                ],
                shown,
            )
            await _show_steps(scene, quiet)
            tasks.cancel_scope.cancel()
    return shown


async def _show_steps(scene: Scene, quiet: bool) -> None:
    # The callers end before the fleet does, or their last calls would hang.
    async with anyio.create_task_group() as calling:
        for name, step in _STEPS.items():
            scene.shown.append(await _show_step(scene, name, step, quiet))
            if step is _confirm:
                for caller in scene.background:
                    calling.start_soon(caller.keep_calling, _SERVICES)
        calling.cancel_scope.cancel()


async def _show_step(
    scene: Scene,
    name: str,
    step: Step,
    quiet: bool,
) -> Shown:
    if not quiet:
        output.line(f'... {name}')
    started_s = anyio.current_time()
    verdict = Verdict(held=False, evidence='not seen within its bound')
    with anyio.move_on_after(clock.to_seconds(STEP_BOUND_MS)):
        verdict = await step(scene)
    row = Shown(
        step=name,
        held=verdict.held,
        seconds=round(anyio.current_time() - started_s, 2),
        evidence=verdict.evidence,
    )
    if not quiet:
        mark = 'held' if row['held'] else 'DID NOT HOLD'
        output.line(f'    {mark} in {row["seconds"]} s: {row["evidence"]}')
    return row


# Steps


async def _confirm(scene: Scene) -> Verdict:
    scene.deployment.platform.publish(scene.deployment.first_note())
    await _until(lambda: all(_is_serving(entry) for entry in scene.nodes))
    return Verdict(
        held=True,
        evidence=f'{len(scene.nodes)} instances serve with note 1 in force',
    )


async def _ask_addresses(scene: Scene) -> Verdict:
    wanted = {entry.identity.caller_address for entry in scene.nodes}
    found: set[str] = set()
    while found != wanted:
        found = {entry['address'] for entry in await scene.caller.ask()}
        await anyio.sleep(clock.to_seconds(_POLL_MS))
    places = sorted({entry['data_centre'] for entry in scene.caller.known})
    return Verdict(
        held=True,
        evidence=f'{len(found)} addresses in {", ".join(places)}',
    )


async def _look_up(scene: Scene) -> Verdict:
    told = [
        await scene.caller.look_up(_SERVICES[number % len(_SERVICES)])
        for number in range(_LOOKUPS)
    ]
    ran = [one for one in told if one.outcome == 'ran']
    by_target = {one.body for one in ran}
    return Verdict(
        held=len(ran) == _LOOKUPS,
        evidence=f'{len(ran)} of {_LOOKUPS} lookups ran, on '
        f'{len(by_target)} targets',
    )


async def _reserve(scene: Scene) -> Verdict:
    home, second, third, *_ = await scene.caller.ask()
    key = f'{home["key_prefix"]}reservation-1'
    told = [
        await scene.caller.call(entry['address'], 'burza', 'POST', key)
        for entry in (second, third, home, second)
    ]
    members = scene.deployment.target_by_id.values()
    runs = sum(target.served_by_key.get(key, 0) for target in members)
    same = len({one.body for one in told}) == 1
    all_ran = all(one.outcome == 'ran' for one in told)
    return Verdict(
        held=runs == 1 and same and all_ran,
        evidence=f'sent {len(told)} times through 3 instances, ran {runs} '
        f'time(s), {"the same answer" if same else "differing answers"}',
    )


async def _withdraw(scene: Scene) -> Verdict:
    number = scene.deployment.platform.publish(
        {'withdrawn': {'targets': [_MOVED]}},
    )
    await _until_in_force(scene, number)
    await _until(lambda: scene.moved.in_flight == 0)
    before = scene.moved.served
    others = scene.served()
    await _until(lambda: scene.served() - others >= _LOOKUPS)
    late = scene.moved.served - before
    return Verdict(
        held=late == 0,
        evidence=f'note {number} in force on all; {_MOVED} got {late} of the '
        f'next {scene.served() - others} calls',
    )


async def _bring_back(scene: Scene) -> Verdict:
    before = scene.moved.served
    shed = scene.moved.over_slot_calls
    scene.moved.most_in_flight = 0
    scene.moved.cold_calls = _RAMP_CALLS // 4
    entry = scene.deployment.entry_by_id[_MOVED]
    number = scene.deployment.platform.publish({'added': {'targets': [entry]}})
    await _until_in_force(scene, number)
    async with anyio.create_task_group() as crest:
        for target in scene.deployment.target_by_id.values():
            target.service_ms = _CREST_SERVICE_MS
        for _ in range(_CREST_CALLERS):
            crest.start_soon(scene.caller.keep_calling, _SERVICES[:1])
        await _until(lambda: scene.moved.served - before >= _RAMP_CALLS)
        crest.cancel_scope.cancel()
    refused = scene.moved.over_slot_calls - shed
    return Verdict(
        held=refused == 0,
        evidence=f'note {number} in force on all; {_MOVED} started cold, '
        f'served {scene.moved.served - before}, had at most '
        f'{scene.moved.most_in_flight} of {scene.moved.slots} slots in use, '
        f'refused {refused}',
    )


async def _stop_one(scene: Scene) -> Verdict:
    leaving = scene.nodes[-1]
    gone = leaving.identity.caller_address
    leaving.stop()
    assert leaving.runtime is not None  # noqa: S101 (it has served)
    await leaving.runtime.exit.wait()
    named = {entry['address'] for entry in await scene.caller.ask()}
    counts: collections.Counter[str] = collections.Counter()
    for caller in scene.background:
        counts.update(caller.count_by_outcome)
    unexpected = {kind for kind in counts if kind not in _EXPECTED}
    told = ', '.join(f'{kind} {count}' for kind, count in counts.items())
    return Verdict(
        held=gone not in named and not unexpected,
        evidence=f'{leaving.identity.instance_id} left the addresses and '
        f'ended; calls under way all the time: {told}',
    )


_STEPS: typing.Final[dict[str, Step]] = {
    'entry instances confirm the first note': _confirm,
    'a caller asks for the addresses': _ask_addresses,
    'it makes lookups': _look_up,
    'it resends one reservation through others': _reserve,
    'a note withdraws a target': _withdraw,
    'a note brings it back': _bring_back,
    'one instance is stopped as planned': _stop_one,
}


async def _until_in_force(scene: Scene, number: int) -> None:
    await _until(
        lambda: all(
            entry.runtime is not None
            and entry.runtime.state.catalogue.in_force.number >= number
            for entry in scene.nodes
        ),
    )


async def _until(condition: typing.Callable[[], bool]) -> None:
    while not condition():
        await anyio.sleep(clock.to_seconds(_POLL_MS))


def _is_serving(instance: node.Node) -> bool:
    carrier = instance.runtime
    if carrier is None:
        return False
    return carrier.state.instances.phase is instances.Phase.SERVING
