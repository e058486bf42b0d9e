"""All tables of one instance."""

import random

import msgspec

from oleanderstair.domain import policy
from oleanderstair.domain.tables import (
    admission,
    budgets,
    caller_timeouts,
    calls,
    catalogue,
    concurrency,
    crashes,
    facts,
    hedges,
    host_assignments,
    identity,
    instances,
    keys,
    latencies,
    load_reports,
    members,
    operator_state,
    rate_limits,
    reachability,
    reads,
    registry,
    retry_budget,
    routed,
    routes,
    services,
    slow_starts,
    store,
    suspects,
    targets,
    traffic,
)


class World(msgspec.Struct):
    """The tables, limits and random generators that systems work with.

    Address answers are not recorded as events. They use ``address_rng``, so
    that the replay of a trace draws the same numbers from ``rng`` as the
    recorded instance did.
    """

    identity: identity.Identity
    policy: policy.Policy
    rng: random.Random
    address_rng: random.Random
    catalogue: catalogue.CatalogueTable
    instances: instances.InstancesTable
    facts: facts.FactsTable
    keys: keys.KeysTable
    targets: targets.TargetsTable
    caller_timeouts: caller_timeouts.CallerTimeoutsTable
    calls: calls.CallsTable
    host_assignments: host_assignments.HostAssignmentsTable
    budgets: budgets.BudgetsTable
    services: services.ServicesTable
    suspects: suspects.SuspectsTable
    reads: reads.ReadsTable
    traffic: traffic.TrafficTable
    routes: routes.RoutesTable
    registry: registry.RegistryTable
    loads: load_reports.LoadsTable
    rate_limits: rate_limits.RateLimitsTable
    slow_starts: slow_starts.SlowStartsTable
    reachability: reachability.ReachabilityTable
    concurrency: concurrency.ConcurrencyTable
    crashes: crashes.CrashesTable
    routed: routed.RoutedTable
    retry_budget: retry_budget.RetryBudgetTable
    hedges: hedges.HedgesTable
    latencies: latencies.LatenciesTable
    store: store.StoreTable
    operator_state: operator_state.OperatorStateTable
    members: members.MembersTable
    admission: admission.AdmissionTable


def create(
    own: identity.Identity,
    limits: policy.Policy,
    rng: random.Random,
) -> World:
    """Create the empty tables of a starting instance."""
    return World(
        identity=own,
        policy=limits,
        rng=rng,
        address_rng=random.Random(rng.random()),
        catalogue=catalogue.create(),
        instances=instances.create(),
        facts=facts.create(),
        keys=keys.create(),
        targets=targets.create(),
        caller_timeouts=caller_timeouts.create(),
        calls=calls.create(),
        host_assignments=host_assignments.create(),
        budgets=budgets.create(),
        services=services.create(),
        suspects=suspects.create(),
        reads=reads.create(),
        traffic=traffic.create(),
        routes=routes.create(),
        registry=registry.create(),
        loads=load_reports.create(),
        rate_limits=rate_limits.create(),
        slow_starts=slow_starts.create(),
        reachability=reachability.create(),
        concurrency=concurrency.create(),
        crashes=crashes.create(),
        routed=routed.create(),
        retry_budget=retry_budget.create(),
        hedges=hedges.create(),
        latencies=latencies.create(),
        store=store.create(),
        operator_state=operator_state.create(),
        members=members.create(),
        admission=admission.create(),
    )
