"""Slow start of a new target with twenty instances."""

import typing

import pytest

from oleanderstair.domain import outcomes
from oleanderstair.domain.targets import ramps
from oleanderstair.emulator import harness
from test import helper

COUNT = 20
SERVICE_MS = 40
COLD_CALLS = 12
COLD_MS = 400
GAP_MS = 5
NEW = 'burza-new'


class Results(typing.NamedTuple):
    """Results of the slow start of one target."""

    over_slots: int
    full_after_ms: float | None
    refused_not_run: int
    new_served: int


def warm_service_time(received):
    return SERVICE_MS


class SlowStart:
    """Twenty instances under load and a cold target added by a note."""

    def __init__(self, share, seed=1):
        self.fleet = helper.make_harness(
            COUNT,
            target_count=6,
            seed=seed,
            ramp=share,
            choice='slots',
        )
        for target in self.fleet.target_by_id.values():
            target.service_time = warm_service_time
        self.target = harness.Target(NEW)
        self.target.service_time = self.service_time
        self.fleet.add_target(self.target)
        self.served = 0
        self.sending = True
        self.skipped = set()
        self.full_after_ms = None
        self.fleet.run_for(1000)

    def service_time(self, received):
        self.served += 1
        return COLD_MS if self.served <= COLD_CALLS else SERVICE_MS

    def begin(self):
        self.send()
        self.fleet.run_for(500)
        self.added_at_ms = self.fleet.clock.now_ms()
        self.fleet.publish(
            {
                'added': {
                    'targets': [harness.target_entry(self.target, 'burza')],
                },
            },
        )

    def send(self):
        if not self.sending:
            return
        instance_id = f'entry-{self.fleet.rng.randint(1, COUNT)}'
        if instance_id not in self.skipped:
            self.fleet.call(instance_id)
        self.fleet.after(GAP_MS, self.send)

    def canary(self):
        owners = [
            instance_id
            for instance_id, started in self.fleet.instance_by_id.items()
            if started.state.targets.ramp_by_id[NEW].own_slots
        ]
        assert len(owners) == 1
        return owners[0]

    def run_until_full(self, bound_ms):
        self.fleet.run_for(1500)
        while self.fleet.clock.now_ms() - self.added_at_ms < bound_ms:
            self.fleet.run_for(100)
            if self.is_full():
                self.full_after_ms = (
                    self.fleet.clock.now_ms() - self.added_at_ms
                )
                return

    def is_full(self):
        return all(
            self.is_full_at(started.state)
            for started in self.fleet.instance_by_id.values()
            if started.alive
            and started.state.identity.instance_id not in self.skipped
        )

    def is_full_at(self, state):
        target = state.catalogue.in_force.target_by_id.get(NEW)
        if target is None:
            return False
        now_ms = self.fleet.clock.now_ms()
        return ramps.max_in_flight(state, target, now_ms) == target.slots

    def results(self):
        outcomes_seen = [
            answer.outcome for answer in self.fleet.told_by_call.values()
        ]
        return Results(
            self.target.shed,
            self.full_after_ms,
            outcomes_seen.count(outcomes.Outcome.NOT_RUN),
            self.served,
        )


def run_slow_start(share, seed=1, bound_ms=20000):
    slow_start = SlowStart(share, seed)
    slow_start.begin()
    slow_start.run_until_full(bound_ms)
    return slow_start.results()


@pytest.mark.parametrize('seed', [1, 2])
def test_only_a_shared_ramp_never_exceeds_the_slots(seed):
    shared = run_slow_start('fleet', seed)
    alone = run_slow_start('alone', seed)
    assert shared.over_slots == 0
    assert shared.full_after_ms is not None
    assert shared.new_served > COLD_CALLS
    assert alone.over_slots > 0


@pytest.mark.parametrize('fault', ['kill', 'cut_off', 'idle'])
def test_ramp_continues_without_the_owner_of_its_canary_slot(fault):
    slow_start = SlowStart('fleet')
    slow_start.begin()
    slow_start.fleet.run_for(700)
    canary = slow_start.canary()
    slow_start.skipped.add(canary)
    if fault == 'kill':
        slow_start.fleet.kill(canary)
    if fault == 'cut_off':
        slow_start.fleet.link_rule = lambda sender, receiver, message: (
            () if canary in {sender, receiver} else (harness.HOP_MS,)
        )
    slow_start.run_until_full(30000)
    assert slow_start.target.shed == 0
    assert slow_start.full_after_ms is not None
