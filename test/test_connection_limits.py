"""The connection limit of a target is divided among all instances."""

import random

import pytest

from oleanderstair.domain import policy, world
from oleanderstair.domain.tables import identity, routes
from oleanderstair.domain.targets import connection_limits

OWN = identity.Identity('entry-1', 'entry-1~1', 'west', 'nitra', 'a:1', 'a:2')
SERVICES = {
    name: routes.RoutedService(name, '/health', connections)
    for name, connections in (('burza', 300), ('sklad', 280))
}


@pytest.mark.parametrize(
    ('count', 'limit'),
    [(1, 280), (20, 14), (200, connection_limits.MIN_CONNECTIONS)],
)
def test_limit_is_the_share_of_one_instance(count, limit):
    limits = policy.Policy(assumed_instances=1)
    state = world.create(OWN, limits, random.Random(1))
    state.instances.largest_count = count
    state.routes.in_force = routes.Routing(
        1,
        {},
        SERVICES,
        routes.CallerLimits(),
    )
    assert connection_limits.target_connection_limit(state) == limit
