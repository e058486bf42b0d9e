"""Every fault of the matrix: how it starts and how it heals."""

import functools
import itertools
import typing

from oleanderstair.domain import events
from oleanderstair.emulator import harness
from test import scene as scenes

RESTART_MS = 300
PAUSE_MS = 300
LONG_PAUSE_MS = 2500
LATE_MS = 400
COLD_MS = 200
COLD_CALLS = 20
NEWCOMER = 'entry-4'
CRASH_PATH = '/crash'
CRASH_MS = 1800
GARBAGE = b'\xff{"number":'

Heal = typing.Callable[[], None]


def slow_target(scene: scenes.Scene) -> Heal:
    """Let the target take ten times as long."""
    scene.target.service_time = lambda received: 10 * scenes.SERVICE_MS
    return lambda: _mend(scene, scene.target)


def drain_target(scene: scenes.Scene) -> Heal:
    """Let the target say that it is leaving, for good."""
    scene.target.leaving = True
    return _nothing


def fail_fast(scene: scenes.Scene) -> Heal:
    """Let the target answer errors at once."""
    scene.target.behaviour = harness.Behaviour.FAIL_FAST
    return lambda: _mend(scene, scene.target)


def crash_target(scene: scenes.Scene) -> Heal:
    """Reset all exchanges; the target is gone until the fault heals."""
    target = scene.target
    scene.fleet.crash(target.target_id)
    return lambda: _restart(target)


def silence_target(scene: scenes.Scene) -> Heal:
    """Let the target accept calls and never answer one."""
    target = scene.target
    target.behaviour = harness.Behaviour.SILENT
    target.running.clear()
    return lambda: _mend(scene, target)


def silence_connections(scene: scenes.Scene) -> Heal:
    """Lose what is on open connections while new ones work."""
    scene.target.running.clear()
    return _nothing


def lie(scene: scenes.Scene) -> Heal:
    """Let a slow target report that it has nothing in flight."""
    heal = slow_target(scene)
    target = scene.target
    target.reported_in_flight = 0
    return lambda: (setattr(target, 'reported_in_flight', None), heal())[1]


def return_cold(scene: scenes.Scene) -> Heal:
    """Crash the target and let it come back with slow first calls."""
    target = scene.target
    scene.fleet.crash(target.target_id)
    served = itertools.count()

    def cold_time(received: events.CallReceived) -> float:
        cold = next(served) < COLD_CALLS
        return COLD_MS if cold else scenes.service_time(received)

    def start_cold() -> None:
        _restart(target)
        target.service_time = cold_time

    scene.fleet.after(RESTART_MS, start_cold)
    return _nothing


def stop_platform(scene: scenes.Scene) -> Heal:
    """Let every read fail, also those of an instance that joins."""
    _join(scene)
    scene.fleet.platform_down = True
    return _reads_counted(
        scene,
        lambda: setattr(scene.fleet, 'platform_down', False),
    )


def serve_stale(scene: scenes.Scene) -> Heal:
    """Serve the values of before the newest notes, also to a newcomer."""
    _join(scene)
    return _serve(scene, dict(scene.older_bodies))


def serve_malformed(scene: scenes.Scene) -> Heal:
    """Serve values that cannot be parsed, also to a newcomer."""
    _join(scene)
    return _serve(scene, dict.fromkeys(scene.fleet.body_by_name, GARBAGE))


def lag_list(scene: scenes.Scene) -> Heal:
    """List an instance that is gone, and not one that lives."""
    current = dict(scene.fleet.listed)
    gone = current['entry-1']._replace(instance_id='entry-9', peer_address='x')
    scene.fleet.listed['entry-9'] = gone
    scene.fleet.listed.pop('entry-3', None)

    def heal() -> None:
        scene.fleet.listed.clear()
        scene.fleet.listed.update(current)

    return heal


def pause(scene: scenes.Scene) -> Heal:
    """Pause the instance for a moment."""
    return _pause(scene, PAUSE_MS)


def pause_long(scene: scenes.Scene) -> Heal:
    """Pause the instance until its knowledge is old."""
    return _pause(scene, LONG_PAUSE_MS)


def partition(scene: scenes.Scene) -> Heal:
    """Cut the instance off from all others."""
    cut_off = scene.actor
    scene.cut(cut_off, for_ms=scenes.FAULT_MS)

    def rule(sender, receiver, message):
        crosses = (sender == cut_off) != (receiver == cut_off)
        scene.effects += int(crosses)
        return () if crosses else (harness.HOP_MS,)

    return _link(scene, rule)


def replace(scene: scenes.Scene) -> Heal:
    """Kill the instance and start a new incarnation in its place."""
    instance_id = scene.actor
    now_ms = scene.fleet.clock.now_ms()
    scene.history.crash_at_ms_by_instance[scene.incarnation(instance_id)] = (
        now_ms
    )
    scene.cut(instance_id, for_ms=float('inf'))
    scene.fleet.kill(instance_id)
    place = scenes.DATA_CENTRE_BY_INSTANCE[instance_id]
    scene.fleet.after(
        RESTART_MS,
        lambda: scene.fleet.add_instance(instance_id, place, **scenes.LIMITS),
    )
    return _nothing


def stop_planned(scene: scenes.Scene) -> Heal:
    """Ask the instance for a planned stop."""
    scene.fleet.after(
        0,
        lambda: scene.fleet.step(scene.actor, events.StopRequested()),
    )
    return _nothing


def lose_messages(scene: scenes.Scene) -> Heal:
    """Lose every second message between instances."""
    return _deliver(scene, itertools.cycle([(), (harness.HOP_MS,)]))


def double_messages(scene: scenes.Scene) -> Heal:
    """Deliver every message twice, the second time late."""
    return _deliver(scene, itertools.cycle([(harness.HOP_MS, LATE_MS)]))


def delay_messages(scene: scenes.Scene) -> Heal:
    """Deliver every message late."""
    return _deliver(scene, itertools.cycle([(LATE_MS,)]))


def reorder_messages(scene: scenes.Scene) -> Heal:
    """Let later messages overtake earlier ones."""
    delays = [(60,), (1,), (30,), (2,), (90,)]
    return _deliver(scene, itertools.cycle(delays))


def crashing_call(scene: scenes.Scene) -> Heal:
    """Send a call that crashes its target, and send it again."""
    for target in scene.fleet.target_by_id.values():
        target.crashing_paths.add(CRASH_PATH)
    for number, entry in enumerate(sorted(scenes.DATA_CENTRE_BY_INSTANCE)):
        send = functools.partial(scene.send_lookup, entry, CRASH_PATH, CRASH_MS)
        scene.fleet.after(number * RESTART_MS, send)

    def heal() -> None:
        crashed = [run for run in scene.fleet.runs if run.path == CRASH_PATH]
        scene.effects = len(crashed)
        for run in crashed:
            _restart(scene.fleet.target_by_id[run.target_id])

    return heal


Fault = typing.Callable[[scenes.Scene], Heal]

FAULT_BY_NAME: dict[str, Fault] = {
    'target-slows': slow_target,
    'target-drains': drain_target,
    'target-fails-fast': fail_fast,
    'target-crashes': crash_target,
    'target-goes-silent': silence_target,
    'connections-go-silent': silence_connections,
    'target-lies': lie,
    'target-returns-cold': return_cold,
    'configuration-down': stop_platform,
    'configuration-stale': serve_stale,
    'configuration-malformed': serve_malformed,
    'instance-list-lags': lag_list,
    'process-pauses': pause,
    'process-wakes-late': pause_long,
    'partition': partition,
    'instance-replaced': replace,
    'planned-stop': stop_planned,
    'messages-lost': lose_messages,
    'messages-doubled': double_messages,
    'messages-late': delay_messages,
    'messages-reordered': reorder_messages,
    'crash-causing-call': crashing_call,
}
# Faults that must be seen to strike something after they were injected.
COUNTED = frozenset(
    (
        'partition',
        'messages-lost',
        'messages-doubled',
        'messages-late',
        'messages-reordered',
        'crash-causing-call',
        'configuration-down',
        'configuration-stale',
        'configuration-malformed',
    ),
)


def _nothing() -> None:
    """Heal nothing: the fault is a moment, or stays."""


def _join(scene: scenes.Scene) -> None:
    def start() -> None:
        if NEWCOMER not in scene.fleet.instance_by_id:
            scene.fleet.add_instance(NEWCOMER, 'nitra', **scenes.LIMITS)

    scene.fleet.after(0, start)


def _mend(scene: scenes.Scene, target: harness.Target) -> None:
    target.service_time = scenes.service_time
    target.behaviour = harness.Behaviour.SERVE


def _restart(target: harness.Target) -> None:
    target.behaviour = harness.Behaviour.SERVE
    target.incarnation = f'{int(target.incarnation) + 1}'


def _serve(scene: scenes.Scene, bodies: dict[str, bytes]) -> Heal:
    made = scene.fleet
    current = made.body_by_name
    made.body_by_name = bodies
    return _reads_counted(
        scene,
        lambda: setattr(made, 'body_by_name', current),
    )


def _reads_counted(scene: scenes.Scene, mend: Heal) -> Heal:
    before = scene.fleet.platform_reads

    def heal() -> None:
        scene.effects += scene.fleet.platform_reads - before
        mend()

    return heal


def _pause(scene: scenes.Scene, for_ms: float) -> Heal:
    scene.cut(scene.actor, one_way=True, for_ms=for_ms)
    scene.fleet.pause(scene.actor, for_ms)
    return _nothing


def _link(scene: scenes.Scene, rule: harness.LinkRule) -> Heal:
    before = scene.fleet.link_rule
    scene.fleet.link_rule = rule
    return lambda: setattr(scene.fleet, 'link_rule', before)


def _deliver(
    scene: scenes.Scene,
    delays: typing.Iterator[tuple[float, ...]],
) -> Heal:
    def rule(sender, receiver, message):
        scene.effects += 1
        return next(delays)

    return _link(scene, rule)
