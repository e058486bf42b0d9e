"""The data of a deployment of gateways: its places, services and calls."""

import random
import typing

from oleanderstair import clock
from oleanderstair.domain.configuration import routing
from oleanderstair.domain.tables import routes
from oleanderstair.emulator import neighbours

HOST: typing.Final = 'calls.example'
HEALTH_PATH: typing.Final = '/health'


class Work(typing.NamedTuple):
    """How long a target works on a call, by its own undisturbed clock.

    A ``tail_share`` of the runs takes ``tail_factor`` times as long as the
    others; the mean holds over both.
    """

    mean_ms: clock.Millis
    spread: float = 0.3
    tail_share: float = 0.03
    tail_factor: float = 7
    most_ms: clock.Millis = 5000

    def draw(self, rng: random.Random) -> clock.Millis:
        """Draw the ms of one run."""
        body_ms = self.mean_ms / (1 + self.tail_share * (self.tail_factor - 1))
        drawn_ms = body_ms * rng.lognormvariate(0, self.spread)
        if rng.random() < self.tail_share:
            drawn_ms *= self.tail_factor
        return min(drawn_ms, self.most_ms)


class Kind(typing.NamedTuple):
    """A kind of call on a route of its own, and what callers make of it.

    A caller waits for ``deadline_ms``, or up to ``deadline_spread`` of that
    less.
    """

    name: str
    service: str
    per_s: float
    work: Work
    idempotent: bool = True
    aim_ms: clock.Millis = 250
    deadline_ms: clock.Millis = 1000
    timeout_ms: clock.Millis = 1000
    rank: int = 0
    worth: float = 1
    late_worth: float = 0
    retries: int = 1
    max_attempts: int = 3
    deadline_spread: float = 0
    host: str = HOST

    @property
    def prefix(self) -> str:
        """Return the prefix of the kind's route."""
        return f'/{self.name}/'


class ServicePlan(typing.NamedTuple):
    """A service: how many targets each data centre has, and their size."""

    name: str
    targets_by_data_centre: typing.Mapping[str, int]
    slots: int = 4
    queue: int = 8
    noise: neighbours.Noise = neighbours.Noise()
    crowded_factor: float = 1
    connections: int = 300


class Plan(typing.NamedTuple):
    """A deployment; delays are one way."""

    region: str
    instances_by_data_centre: typing.Mapping[str, int]
    services: tuple[ServicePlan, ...]
    kinds: tuple[Kind, ...]
    between_ms: clock.Millis = 1
    wave: float = 0
    wave_ms: clock.Millis = 15_000


def routing_of(plan: Plan, number: int = 1) -> routes.Routing:
    """Return the configuration that gives each kind its route."""
    return routes.Routing(
        number=number,
        routes_by_host=routing.index_routes(map(route_of, plan.kinds)),
        service_by_name={
            service.name: routes.RoutedService(
                service.name,
                HEALTH_PATH,
                service.connections,
            )
            for service in plan.services
        },
        limits=routes.CallerLimits(),
    )


def route_of(kind: Kind) -> routes.Route:
    """Return the route of a kind of call."""
    return routes.Route(
        name=kind.name,
        host=kind.host,
        prefix=kind.prefix,
        parts=(routes.SplitPart(kind.service, 1),),
        idempotent=kind.idempotent,
        timeout_ms=kind.timeout_ms,
        aim_ms=kind.aim_ms,
        rank=kind.rank,
        max_attempts=kind.max_attempts,
    )
