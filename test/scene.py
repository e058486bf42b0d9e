"""A small fleet under load on the virtual clock, with a record of its steps."""

import dataclasses
import itertools
import typing

from oleanderstair.domain import outcomes, world
from oleanderstair.domain.proof import evidence, record
from oleanderstair.domain.tables import instances
from oleanderstair.emulator import harness
from oleanderstair.engine import recorder

SERVICE = 'burza'
SERVICE_MS = 40
SLOW_MS = 250
LONG_MS = 1500
CALL_BUDGET_MS = 800
FAULT_MS = 2500
BACKGROUND_MS = 40
DATA_CENTRE_BY_INSTANCE = {
    'entry-1': 'trnava',
    'entry-2': 'nitra',
    'entry-3': 'trnava',
}
LIMITS = {'tick_ms': 100}
PROBE_BUDGET = 40


@dataclasses.dataclass
class Scene:
    """The fleet, its record, and the instance and target that a fault hits."""

    fleet: harness.Harness
    history: record.Record
    actor: str = 'entry-1'
    target_id: str = 'burza-1'
    older_bodies: dict[str, bytes] = dataclasses.field(default_factory=dict)
    injected: list[str] = dataclasses.field(default_factory=list)
    effects: int = 0
    nonces: typing.Iterator[int] = dataclasses.field(
        default_factory=itertools.count,
    )

    @property
    def target(self) -> harness.Target:
        """Return the target that the fault hits."""
        return self.fleet.target_by_id[self.target_id]

    def state(self, instance_id: str) -> world.World:
        """Return the state of the running instance with an id."""
        return self.fleet.instance_by_id[instance_id].state

    def incarnation(self, instance_id: str) -> str:
        """Return the incarnation of the running instance with an id."""
        return self.state(instance_id).identity.incarnation

    def new_key(self, instance_id: str) -> str:
        """Return an unused key whose home is the given instance."""
        state = self.state(instance_id)
        epoch = state.keys.open_epoch
        return f'{state.identity.incarnation}.{epoch}.n{next(self.nonces)}'

    def cut(self, *group: str, one_way: bool = False, for_ms: float) -> None:
        """Record for the checks that ``group`` is cut off for a time.

        This does not affect the links of the fleet.
        """
        now_ms = self.fleet.clock.now_ms()
        members = frozenset(self.incarnation(member) for member in group)
        self.history.partitions.append(
            evidence.Partition(members, now_ms, now_ms + for_ms, one_way),
        )

    def live_ids(self) -> list[str]:
        """Return the ids of the instances that are serving."""
        return [
            instance_id
            for instance_id, found in self.fleet.instance_by_id.items()
            if found.alive
            and found.state.instances.phase is instances.Phase.SERVING
        ]

    def send_lookup(
        self,
        instance_id: str,
        path: str = '/listings',
        budget_ms: float = CALL_BUDGET_MS,
    ) -> int:
        """Send an idempotent call."""
        return self.fleet.call(
            instance_id,
            path=path,
            fingerprint=path,
            budget_ms=budget_ms,
        )

    def send_order(self, instance_id: str, key: str) -> int:
        """Send an order with a key; without one if the key is empty."""
        return self.fleet.call(
            instance_id,
            method='POST',
            path='/orders',
            key=key,
            fingerprint=key or f'order-{next(self.nonces)}',
            budget_ms=CALL_BUDGET_MS,
        )

    def has_ran(self, call_id: int) -> bool:
        """Return whether the caller got the answer of a target."""
        answer = self.fleet.told_by_call.get(call_id)
        return answer is not None and answer.outcome is outcomes.Outcome.RAN

    def start_background(self, for_ms: float) -> None:
        """Schedule keyed orders, orders without a key and lookups in turn."""
        ids = sorted(DATA_CENTRE_BY_INSTANCE)
        for number in range(int(for_ms / BACKGROUND_MS)):
            entry = ids[number % len(ids)]
            home = ids[(number + number // len(ids)) % len(ids)]
            self.fleet.after(
                number * BACKGROUND_MS,
                self._background_call(number, entry, home),
            )

    def _background_call(
        self,
        number: int,
        entry: str,
        home: str,
    ) -> typing.Callable[[], None]:
        def send() -> None:
            kind = number % 4
            if kind == 0:
                self.send_order(entry, self.new_key(home))
            elif kind == 1:
                self.send_order(entry, '')
            else:
                self.send_lookup(entry)

        return send


def create(seed: int = 1) -> Scene:
    """Create three serving instances and three targets after two notes."""
    fleet = harness.create(seed)
    history = record.create()
    members = [
        harness.Target(f'{SERVICE}-{number}', slots=2, service_ms=SERVICE_MS)
        for number in range(1, 4)
    ]
    for member in members:
        member.service_time = service_time
        fleet.add_target(member)
    fields = {'probe_budget_per_s': PROBE_BUDGET}
    first = harness.first_note({SERVICE: members}, **fields)
    fleet.publish(first)
    older = dict(fleet.body_by_name)
    watch(fleet, history)
    for instance_id, data_centre in DATA_CENTRE_BY_INSTANCE.items():
        fleet.add_instance(instance_id, data_centre, **LIMITS)
    fleet.run_for(1500)
    changed = {'name': SERVICE, 'region': 'west', 'deadline_ms': 900, **fields}
    fleet.publish({'changed': {'services': [changed]}})
    fleet.run_for(2500)
    return Scene(fleet, history, older_bodies=older)


def watch(fleet: harness.Harness, history: record.Record) -> None:
    """Record all steps and runs of a harness."""
    fleet.after_step.append(
        lambda state, event, taken: history.record_step(
            state,
            event,
            taken,
            fleet.clock.now_ms(),
        ),
    )
    fleet.on_run.append(
        lambda run: history.runs.append(
            evidence.Run(
                run.at_ms,
                run.target_id,
                run.instance,
                run.call_id,
                run.key,
            ),
        ),
    )


def service_time(received) -> float:
    """Return the duration of a call at a target in ms, by its path."""
    return {'/slow': SLOW_MS, '/long': LONG_MS}.get(received.path, SERVICE_MS)


def record_trace(
    scene: Scene,
    instance_id: str,
    data_centre: str,
) -> recorder.TraceRecorder:
    """Replace an instance by one whose trace is recorded from its start."""
    scene.fleet.kill(instance_id)
    state = scene.fleet.add_instance(instance_id, data_centre, **LIMITS)
    trace = recorder.create(
        state.identity,
        state.policy,
        scene.fleet.instance_by_id[instance_id].seed,
        max_events=100_000,
    )

    def record_event(stepped, event, taken):
        if stepped is state:
            trace.record(scene.fleet.clock.now_ms(), event, taken)

    scene.fleet.after_step.append(record_event)
    scene.fleet.run_for(2000)
    return trace
