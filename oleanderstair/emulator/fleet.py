"""A whole deployment on loopback: platform, targets and instances."""

import dataclasses
import typing

import anyio
import anyio.abc

from oleanderstair import settings
from oleanderstair.emulator import platform, standing, targets
from oleanderstair.engine import node


class ServicePlan(typing.NamedTuple):
    """A service of a deployment and its targets."""

    name: str
    targets: int
    slots: int
    service_ms: float
    call_class: str = 'interactive'


class Plan(typing.NamedTuple):
    """A deployment: its places, services and entry instances."""

    region: str
    data_centres: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    instances: int


COOPERATIVE: typing.Final = Plan(
    region='west',
    data_centres=('trnava', 'nitra', 'senec', 'pezinok'),
    services=(
        ServicePlan('burza', targets=15, slots=4, service_ms=4),
        ServicePlan('sklad', targets=12, slots=4, service_ms=6),
    ),
    instances=18,
)
COTOPAXI: typing.Final = Plan(
    region='sierra',
    data_centres=('latacunga', 'ambato', 'riobamba'),
    services=(
        ServicePlan('catalogo', targets=18, slots=6, service_ms=4),
        ServicePlan(
            'calendario',
            targets=12,
            slots=6,
            service_ms=6,
            call_class='deferrable',
        ),
    ),
    instances=18,
)


@dataclasses.dataclass(slots=True)
class Fleet:
    """The running parts of a deployment."""

    plan: Plan
    tasks: anyio.abc.TaskGroup
    platform: platform.Platform
    platform_address: str = ''
    target_by_id: dict[str, targets.Target] = dataclasses.field(
        default_factory=dict,
    )
    entry_by_id: dict[str, dict[str, typing.Any]] = dataclasses.field(
        default_factory=dict,
    )
    node_by_id: dict[str, node.Node] = dataclasses.field(default_factory=dict)
    trace_events: int = 0

    def serve(self, app: typing.Any) -> str:
        """Serve ``app`` on a free loopback port and return its address."""
        return standing.serve(app, self.tasks)

    def start_target(self, target: targets.Target, service: str) -> None:
        """Start a target and keep the entry that adds it by a note."""
        address = self.serve(target)
        data_centres = self.plan.data_centres
        place = data_centres[len(self.entry_by_id) % len(data_centres)]
        self.target_by_id[target.target_id] = target
        self.entry_by_id[target.target_id] = {
            'id': target.target_id,
            'service': service,
            'address': address,
            'data_centre': place,
            'slots': target.slots,
        }

    def start_node(
        self,
        instance_id: str,
        overlay: settings.Tree | None = None,
    ) -> node.Node:
        """Start an entry instance and list it at the platform."""
        data_centres = self.plan.data_centres
        place = data_centres[len(self.node_by_id) % len(data_centres)]
        tree = self.node_settings(instance_id, place)
        tree['policy'].update(overlay or {})
        started = node.create(settings.build(tree))
        self.node_by_id[instance_id] = started
        own = started.identity
        self.platform.listed.append(
            {
                'instance_id': instance_id,
                'region': own.region,
                'data_centre': own.data_centre,
                'caller_address': own.caller_address,
                'peer_address': own.peer_address,
                'leaving': False,
            },
        )
        self.tasks.start_soon(started.run)
        return started

    def node_settings(self, instance_id: str, place: str) -> settings.Tree:
        """Return the settings of an instance on free loopback ports."""
        url = f'http://{self.platform_address}'
        return {
            'instance': {
                'id': instance_id,
                'region': self.plan.region,
                'data_centre': place,
            },
            'callers': {'port': 0, 'idle_ms': standing.IDLE_MS},
            'admin': {'port': 0},
            'peers': {'port': 0, 'allow_plain': True},
            'platform': {
                'configuration_url': url,
                'instances_url': f'{url}/instances',
            },
            'log': {'to': 'none'},
            'trace': {'max_events': self.trace_events},
            'policy': {},
        }

    def first_note(self) -> dict[str, typing.Any]:
        """Return the note that adds all services and targets."""
        services = [
            {
                'name': service.name,
                'region': self.plan.region,
                'call_class': service.call_class,
            }
            for service in self.plan.services
        ]
        return {
            'added': {
                'services': services,
                'targets': list(self.entry_by_id.values()),
            },
        }


def create(plan: Plan, tasks: anyio.abc.TaskGroup) -> Fleet:
    """Start the platform and all targets of ``plan``, but no instance."""
    fleet = Fleet(plan, tasks, platform.create())
    fleet.platform_address = fleet.serve(fleet.platform)
    for service in plan.services:
        made = targets.create_many(
            service.name,
            service.targets,
            service.slots,
            service.service_ms,
        )
        for target in made.values():
            fleet.start_target(target, service.name)
    return fleet
