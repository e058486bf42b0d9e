"""Drives the decision code of several instances on a virtual clock.

It stands at the interface of events and actions: it delivers messages,
answers reads, and lets small targets answer calls. Hooks inject faults.
"""

import itertools
import random
import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import (
    actions,
    balancer,
    events,
    outcomes,
    policy,
    world,
)
from oleanderstair.domain.configuration import notes, note_values
from oleanderstair.domain.tables import identity
from oleanderstair.emulator import (
    harness_notes,
    harness_parts,
    harness_reads,
    harness_targets,
    timeline,
)

Behaviour = harness_parts.Behaviour
Instance = harness_parts.Instance
LinkRule = harness_parts.LinkRule
Run = harness_parts.Run
Target = harness_parts.Target
Told = harness_parts.Told
HOP_MS: typing.Final = harness_parts.HOP_MS
SHED_RETRY_AFTER_MS: typing.Final = harness_parts.SHED_RETRY_AFTER_MS
first_note = harness_notes.first_note
target_entry = harness_notes.target_entry

_SEED_BITS: typing.Final = 64


class Harness:
    """Instances, targets and the platform around one virtual clock."""

    def __init__(self, seed: int = 1) -> None:
        """Start at 0 ms with nothing; ``seed`` fixes every draw."""
        self._times = timeline.create()
        self.clock = self._times.clock
        self.rng = random.Random(seed)
        self.instance_by_id: dict[str, Instance] = {}
        self.instance_by_incarnation: dict[str, Instance] = {}
        self.target_by_id: dict[str, Target] = {}
        self.body_by_name: dict[str, bytes] = {}
        self.listed: dict[str, events.ListedInstance] = {}
        self.platform_down = False
        self.platform_reads = 0
        self.link_rule: LinkRule = lambda sender, receiver, message: (HOP_MS,)
        self.runs: list[Run] = []
        self.told_by_call: dict[int, Told] = {}
        self.peer_bytes = 0
        self.read_rule: typing.Callable[[str, str], bytes | None] = (
            lambda reader, name: self.body_by_name.get(name)
        )
        self.before_step: list[harness_parts.BeforeStep] = []
        self.after_step: list[harness_parts.AfterStep] = []
        self.on_run: list[typing.Callable[[Run], None]] = []
        self._calls = harness_targets.TargetCalls(self)
        self._reads = harness_reads.Reads(self)
        self._call_ids = itertools.count(1)
        self._incarnations = itertools.count(1)
        self._number = 0
        self._digest = ''
        self._asker_by_call: dict[int, tuple[str, int]] = {}
        self._address_by_id: dict[str, str] = {}
        self._perform_by_action: dict[
            type[actions.Action],
            typing.Callable[[str, typing.Any], None],
        ] = {
            actions.Dispatch: self._dispatch,
            actions.CancelAttempt: self._calls.cancel,
            actions.Relay: self._relay,
            actions.RelayRecorded: self._relay,
            actions.RelayHome: self._relay,
            actions.Refuse: self._refuse,
            actions.ForwardHome: self._forward,
            actions.ReadValue: self._reads.read_value,
            actions.WatchValue: self._reads.watch_value,
            actions.ReadInstances: self._reads.read_instances,
            actions.Probe: self._probe,
            actions.SendPeer: self._send_peer,
            actions.Exit: self._exit,
        }

    # Setting up

    def add_instance(
        self,
        instance_id: str,
        data_centre: str = 'trnava',
        listed: bool = True,
        region: str = 'west',
        **limits: typing.Any,
    ) -> world.World:
        """Start an instance, or a fresh incarnation of a known one."""
        own = identity.Identity(
            instance_id=instance_id,
            incarnation=f'{instance_id}~{next(self._incarnations)}',
            region=region,
            data_centre=data_centre,
            caller_address=f'{instance_id}:80',
            peer_address=instance_id,
        )
        seed = self.rng.getrandbits(_SEED_BITS)
        seeded = random.Random(seed)
        state = world.create(own, policy.Policy(**limits), seeded)
        started = Instance(state, seed)
        self.instance_by_id[instance_id] = started
        self.instance_by_incarnation[own.incarnation] = started
        if listed:
            self.listed[instance_id] = events.ListedInstance(
                instance_id,
                region,
                data_centre,
                own.caller_address,
                own.peer_address,
            )
        self.after(self.rng.random() * 10, lambda: self._tick(started))
        return state

    def add_target(self, target: Target) -> None:
        """Add a target that can be reached; a note must name it."""
        self.target_by_id[target.target_id] = target

    def publish(self, note: dict[str, typing.Any]) -> int:
        """Publish the next note and return its number."""
        self._number += 1
        body = msgspec.json.encode(
            {'number': self._number, 'parent': self._digest, **note},
        )
        self._digest = notes.body_digest(body)
        self.body_by_name[note_values.note_value_name(self._number)] = body
        self.body_by_name[note_values.HEAD_NAME] = msgspec.json.encode(
            {'number': self._number, 'digest': self._digest},
        )
        self._reads.end_watches()
        return self._number

    # Faults

    def kill(self, instance_id: str) -> None:
        """End an instance at once; what it held is gone."""
        self.instance_by_id[instance_id].alive = False

    def pause(self, instance_id: str, for_ms: clock.Millis) -> None:
        """Let nothing run at an instance; what arrives waits."""
        paused = self.instance_by_id[instance_id]
        paused.paused_until_ms = self.clock.now_ms() + for_ms

    # Running

    def call(self, instance_id: str, **fields: typing.Any) -> int:
        """Send a call to an instance now and return its id."""
        call_id = next(self._call_ids)
        now_ms = self.clock.now_ms()
        received = events.CallReceived(
            call_id=call_id,
            service=fields.pop('service', 'burza'),
            method=fields.pop('method', 'GET'),
            path=fields.pop('path', '/'),
            deadline_ms=now_ms + fields.pop('budget_ms', 1000),
            **fields,
        )
        self.step(instance_id, received)
        return call_id

    def after(
        self,
        delay_ms: clock.Millis,
        work: typing.Callable[[], None],
    ) -> None:
        """Run ``work`` once ``delay_ms`` have passed."""
        self._times.after(delay_ms, work)

    def run_for(self, span_ms: clock.Millis) -> None:
        """Let ``span_ms`` pass."""
        self._times.run_for(span_ms)

    def step(self, instance_id: str, event: events.Event) -> None:
        """Give an event to the instance that runs now under this id."""
        self._step(self.instance_by_id[instance_id], event)

    def _step(self, instance: Instance, event: events.Event) -> None:
        if not instance.alive:
            return
        now_ms = self.clock.now_ms()
        if now_ms < instance.paused_until_ms:
            wait_ms = instance.paused_until_ms - now_ms
            self.after(wait_ms, lambda: self._step(instance, event))
            return
        for look in self.before_step:
            look(instance.state, event)
        if not instance.alive:
            return
        instance_id = instance.state.identity.instance_id
        done = balancer.step(instance.state, event, now_ms)
        for observe in self.after_step:
            observe(instance.state, event, done)
        for action in done:
            instance.action_log.append((now_ms, action))
            perform = self._perform_by_action.get(type(action))
            if perform is not None:
                perform(instance_id, action)

    def _tick(self, instance: Instance) -> None:
        if not instance.alive:
            return
        if self.clock.now_ms() >= instance.paused_until_ms:
            self._step(instance, events.Tick())
        self.after(
            instance.state.policy.tick_ms,
            lambda: self._tick(instance),
        )

    def later(
        self,
        delay_ms: clock.Millis,
        instance_id: str,
        event: events.Event,
    ) -> None:
        """Give an event to an instance after a time."""
        instance = self.find(instance_id)
        self.after(delay_ms, lambda: self._step(instance, event))

    def find(self, name: str) -> Instance:
        """Return an instance by its incarnation, or by the id it runs as."""
        known = self.instance_by_incarnation.get(name)
        return known or self.instance_by_id[name]

    def crash(self, target_id: str) -> None:
        """Reset every exchange of a target; it stays unreachable."""
        self._calls.crash(target_id)

    def _dispatch(self, instance_id: str, action: actions.Dispatch) -> None:
        self._calls.dispatch(instance_id, action)

    def _probe(self, instance_id: str, action: actions.Probe) -> None:
        self._reads.probe(instance_id, action)

    # Answers to callers and keyed calls between instances

    def _relay(self, instance_id: str, action: typing.Any) -> None:
        self._tell(instance_id, action.call_id, outcomes.Outcome.RAN, None)

    def _refuse(self, instance_id: str, action: actions.Refuse) -> None:
        self._tell(instance_id, action.call_id, action.outcome, action.reason)

    def _tell(
        self,
        instance_id: str,
        call_id: int,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason | None,
    ) -> None:
        asker = self._asker_by_call.pop(call_id, None)
        if asker is None:
            now_ms = self.clock.now_ms()
            self.told_by_call[call_id] = Told(now_ms, outcome, reason, 0)
            return
        asker_id, asked_call_id = asker
        home = self.instance_by_id[instance_id].state.identity.incarnation
        replied = events.HomeReplied(
            asked_call_id,
            outcome,
            reason,
            home=home,
        )
        asker_place = self.find(asker_id).state.identity.instance_id
        for delay_ms in self.link_rule(instance_id, asker_place, None):
            self.later(delay_ms, asker_id, replied)

    def _forward(self, instance_id: str, action: actions.ForwardHome) -> None:
        state = self.instance_by_id[instance_id].state
        received = state.calls.call_by_id[action.call_id].received
        asker = state.identity.incarnation

        def arrive() -> None:
            self._arrive_home(asker, action, received)

        for delay_ms in self.link_rule(instance_id, action.address, None):
            self.after(delay_ms, arrive)

    def _arrive_home(
        self,
        asker_id: str,
        action: actions.ForwardHome,
        received: events.CallReceived,
    ) -> None:
        home = self.instance_by_id[action.address]
        if home.state.identity.incarnation != action.home:
            return
        call_id = next(self._call_ids)
        self._asker_by_call[call_id] = (asker_id, action.call_id)
        self._step(
            home,
            received._replace(call_id=call_id, from_peer=asker_id),
        )

    # Peers

    def _send_peer(self, instance_id: str, action: actions.SendPeer) -> None:
        receiver_id = action.address
        if receiver_id not in self.instance_by_id:
            return
        sender = self.instance_by_id[instance_id].state.identity.incarnation
        heard = events.PeerHeard(sender, action.message)
        delays = self.link_rule(instance_id, receiver_id, action.message)
        for delay_ms in delays:
            self.later(delay_ms, receiver_id, heard)

    def _exit(self, instance_id: str, action: actions.Exit) -> None:
        self.kill(instance_id)
        self.listed.pop(instance_id, None)


def create(seed: int = 1) -> Harness:
    """Create a harness without instances and targets."""
    return Harness(seed)
