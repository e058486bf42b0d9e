"""Builds a whole virtual deployment of gateways from its plan."""

import functools
import random
import typing

from oleanderstair import clock
from oleanderstair.domain import events
from oleanderstair.emulator import (
    gateway_callers,
    gateway_fleet,
    gateway_targets,
    neighbours,
    plans,
)

SETTLE_MS: typing.Final[clock.Millis] = 3000
"""How long instances have before the first call."""


class Day(typing.NamedTuple):
    """A deployment and the demand on it."""

    plan: plans.Plan
    fleet: gateway_fleet.GatewayFleet
    demand: gateway_callers.Demand


def create(
    plan: plans.Plan,
    seed: int = 1,
    **limits: typing.Any,
) -> Day:
    """Start the targets and instances of ``plan``; no call is sent yet."""
    fleet = gateway_fleet.create(seed, plan.between_ms)
    demand = gateway_callers.Demand(fleet, plan, seed)
    for service in plan.services:
        _add_targets(fleet, plan, service)
    fleet.store.publish(plans.routing_of(plan))
    start_all(fleet, plan, **limits)
    return Day(plan, fleet, demand)


def start_all(
    fleet: gateway_fleet.GatewayFleet,
    plan: plans.Plan,
    **limits: typing.Any,
) -> None:
    """Start each instance of ``plan``, or a fresh incarnation of it."""
    seeds = tuple(
        f'entry-{data_centre}-0'
        for data_centre in plan.instances_by_data_centre
    )
    for place, count in plan.instances_by_data_centre.items():
        for number in range(count):
            fleet.add_instance(
                f'entry-{place}-{number}',
                place,
                seeds,
                **limits,
            )


def draw_work(
    work_by_path: typing.Mapping[str, plans.Work],
    received: events.CallReceived,
    rng: random.Random,
) -> clock.Millis:
    """Draw the ms of one run by the path of the call."""
    return work_by_path[received.path].draw(rng)


def _add_targets(
    fleet: gateway_fleet.GatewayFleet,
    plan: plans.Plan,
    service: plans.ServicePlan,
) -> None:
    work_by_path = {kind.prefix: kind.work for kind in plan.kinds}
    for place, count in service.targets_by_data_centre.items():
        for number in range(count):
            target = fleet.add_target(
                f'{service.name}-{place}-{number}',
                service.name,
                place,
                service.slots,
            )
            target.queue = service.queue
            target.crowded_factor = service.crowded_factor
            target.work = functools.partial(draw_work, work_by_path)
            target.machine = _neighbours(target, service.noise, fleet.seed)


def _neighbours(
    target: gateway_targets.GatewayTarget,
    noise: neighbours.Noise,
    seed: int,
) -> neighbours.Neighbours:
    drawn = random.Random(f'neighbours {target.target_id} {seed}')
    return neighbours.Neighbours(noise, drawn)
