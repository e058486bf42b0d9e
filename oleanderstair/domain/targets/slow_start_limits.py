"""Keeps the calls to a target in slow start within what it tolerates.

A target may turn cold at any moment, together with all of its data centre, and
crashes well above its rate. So a target is sent calls without a limit only for
``WARM_VALID_MS`` after the request of a health response that says that it is
warm, and until another instance reports that it has turned cold. Any other
target of a service with a slow start limit is limited: it is cold, in doubt, or
its report is old.

A limited target gets calls from a few senders, chosen by rendezvous hash over
all instances that were known recently, live or not. A sender must be among the
first ``2 * K`` of them in the order of the target, with fewer than ``K`` ready
ones before it. So however the instances disagree about who is ready, at most
``2 * K`` of them send. Each has a token bucket with a part so small that all
of them together stay within the limit.
"""

import math
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, rendezvous, world
from oleanderstair.domain.fleet import (
    broadcast,
    host_assignment,
    member_list,
)
from oleanderstair.domain.tables import (
    budgets,
    calls,
    instances,
    load_reports,
    members,
    operator_state,
    registry,
    slow_starts,
)
from oleanderstair.domain.targets import (
    evacuations,
    locality,
    permit_buckets,
    read_budgets,
)

WARM_VALID_MS: typing.Final[clock.Millis] = 1000
"""How long a target that was warm is sent calls without a limit.

Most instances read a target less than once a second within the read budget.
With 200 ms, targets that were warm were limited at these for most of the time.
All instances together read each target many times a second, and the first that
finds it cold tells the others.
"""

ISOLATED_WARM_VALID_MS: typing.Final[clock.Millis] = 200
"""The same for an instance that sees no majority of its data centre. It may be
cut off from those that read most of the load.
"""

NOTICE_SHARE: typing.Final = 0.5
"""The share of the slack that is kept for these calls."""

COLD_SLOWNESS: typing.Final = 2.0
"""The lowest slowness that is assumed for a cold target."""

MAX_COLD_MS: typing.Final[clock.Millis] = 10_000
"""The longest slow start that a health response is trusted for. Afterwards the
target is read again."""

KEPT_READS: typing.Final = math.ceil(
    read_budgets.READ_WINDOW_MS / WARM_VALID_MS
)
"""The reads of a target that are kept for when its last report is too old.

Otherwise a burst of calls uses up the reads of a second, and the target is
limited for the rest of it.
"""

UNREAD_WAIT_MS: typing.Final[clock.Millis] = 50
"""The assumed time until a target whose report is old can be read."""

MIN_RETRY_AFTER_MS: typing.Final[clock.Millis] = 100
"""The shortest retry time while slow starts hold calls back.

A permit for one call comes sooner, but many callers are refused.
"""

SETTLE_MS: typing.Final[clock.Millis] = 2000
"""How long an instance has no part after many instances became known to it."""

INCOMPLETE_VIEW_MS: typing.Final[clock.Millis] = 60_000
"""How long a started instance has no part while a data centre with targets has
no known instance. It may be cut off."""

KNOWN_MS: typing.Final[clock.Millis] = 600_000
"""How long an instance counts as known after it was last live."""

REVIEW_PERIOD_MS: typing.Final[clock.Millis] = 1000
"""How often it is checked whether the members have changed."""

RECORD_PERIOD_MS: typing.Final[clock.Millis] = 30_000
"""How often the live instances are recorded while they don't change."""

_MAX_GROWTH_SHARE: typing.Final = 0.05
"""The share of new instances in a review above which the list is incomplete."""

_WIDE_SLACK: typing.Final = 8
"""The slack from which a target has two senders at a time, one below it."""

_MIN_ASSIGNED: typing.Final = host_assignment.MIN_HOST_INSTANCES

_FAILED_VERDICTS: typing.Final = frozenset(
    (events.Verdict.NOT_SENT, events.Verdict.SILENT, events.Verdict.BROKEN)
)


def limit_of(
    state: world.World, service: str
) -> operator_state.SlowStartLimit | None:
    """Return the slow start limit of a service, None if it has none."""
    if not state.policy.uses_slow_start_limits:
        return None
    return state.operator_state.limit_by_service.get(service)


def is_cold(state: world.World, target_id: str, now_ms: clock.Millis) -> bool:
    """Return whether a target has stated that it is in slow start now."""
    entry = state.registry.entry_by_id.get(target_id)
    if entry is None or limit_of(state, entry.service) is None:
        return False
    return now_ms < _warmth_of(state, entry).cold_until_ms


def is_limited(
    state: world.World, entry: registry.Entry, now_ms: clock.Millis
) -> bool:
    """Return whether calls to a target need a permit.

    False if its service has no limit, or if a recent health response shows
    that the target is warm.
    """
    if limit_of(state, entry.service) is None:
        return False
    warmth = _warmth_of(state, entry)
    doubted_at_ms = max(
        warmth.doubted_at_ms,
        evacuations.ended_at_ms(state, entry.data_centre),
    )
    if now_ms < warmth.cold_until_ms or warmth.warm_at_ms < doubted_at_ms:
        return True
    age_ms = now_ms - warmth.warm_at_ms
    if age_ms <= ISOLATED_WARM_VALID_MS:
        return False
    return age_ms > WARM_VALID_MS or not read_budgets.sees_local_majority(state)


def permit_wait_ms(
    state: world.World, entry: registry.Entry, now_ms: clock.Millis
) -> clock.Millis:
    """Return the ms until this instance may send a target a call.

    Return 0 if it may now. It is at most the time until the target turns
    warm, or until its health is read.
    """
    if not is_limited(state, entry, now_ms):
        return 0
    rate_per_s = own_rate_per_s(state, entry, now_ms)
    tokens = _tokens(state, entry, rate_per_s, now_ms)
    cold_ms = _warmth_of(state, entry).cold_until_ms - now_ms
    return min(
        permit_buckets.wait_ms(tokens, rate_per_s),
        max(cold_ms, UNREAD_WAIT_MS),
    )


def accepts_after_read(
    state: world.World, entry: registry.Entry, now_ms: clock.Millis
) -> bool:
    """Return whether a read of its health may show that a target is warm.

    False if it is stated to be cold, or if this instance may not read it now.
    """
    if now_ms < _warmth_of(state, entry).cold_until_ms:
        return False
    load = load_reports.load_of(state.loads, entry.target_id)
    if now_ms < load.unreachable_until_ms:
        return False
    if entry.target_id in state.loads.read_started_at_ms_by_id:
        return True
    return read_budgets.may_read(state, entry, now_ms)


def is_read_kept(
    state: world.World, entry: registry.Entry, now_ms: clock.Millis
) -> bool:
    """Return whether a read of a target should wait until it is needed."""
    if limit_of(state, entry.service) is None:
        return False
    if is_limited(state, entry, now_ms):
        return False
    return not read_budgets.may_read(state, entry, now_ms, KEPT_READS)


def count_send(
    state: world.World, entry: registry.Entry, now_ms: clock.Millis
) -> list[actions.Action]:
    """Take a token for a call that is sent to a limited target; count it."""
    if not is_limited(state, entry, now_ms):
        return []
    rate_per_s = own_rate_per_s(state, entry, now_ms)
    tokens = _tokens(state, entry, rate_per_s, now_ms)
    state.slow_starts.bucket_by_id[entry.target_id] = budgets.TokenBucket(
        tokens - 1, now_ms
    )
    return [actions.Count('slow-start-sends', entry.service)]


def count_held_back(
    state: world.World, service: str, now_ms: clock.Millis
) -> list[actions.Action]:
    """Count a call for which no target was found beside cold ones."""
    cold_until_ms = state.slow_starts.cold_until_ms_by_service.get(service)
    if cold_until_ms is None or now_ms >= cold_until_ms:
        return []
    return [actions.Count('slow-start-held-back', service)]


def has_warm_target(
    state: world.World, service: str, now_ms: clock.Millis
) -> bool:
    """Return whether a target of a service is not stated to be cold."""
    ids = state.registry.ids_by_service.get(service, ())
    return any(not is_cold(state, target_id, now_ms) for target_id in ids)


def record_entry(
    state: world.World, entry: registry.Entry, now_ms: clock.Millis
) -> None:
    """Record the slow start that the entry of a new incarnation states."""
    if not state.policy.uses_slow_start_limits:
        return
    table = state.slow_starts
    table.warmth_by_id[entry.target_id] = slow_starts.Warmth(
        entry.born_ms, entry.slow_start_until_ms, doubted_at_ms=now_ms
    )
    table.bucket_by_id[entry.target_id] = budgets.TokenBucket(0, now_ms)
    _record_cold_service(state, entry.service, entry.slow_start_until_ms)
    if len(table.warmth_by_id) > 2 * len(state.registry.entry_by_id):
        for target_id in tuple(table.warmth_by_id):
            if target_id not in state.registry.entry_by_id:
                table.warmth_by_id.pop(target_id)
                table.bucket_by_id.pop(target_id, None)


def on_load_read(
    state: world.World, event: events.LoadRead, now_ms: clock.Millis
) -> list[actions.Action]:
    """Record what a health response states of the slow start of its target.

    It shows that the target is warm if it was requested after the target last
    started or failed. A failed read puts the target in doubt.
    """
    entry = state.registry.entry_by_id.get(event.target_id)
    if entry is None or limit_of(state, entry.service) is None:
        return []
    requested_at_ms = state.loads.read_started_at_ms_by_id.get(
        event.target_id, now_ms - event.took_ms
    )
    _record_pool_size(state, entry, now_ms)
    if event.report is None or event.report.slow_start_ms is None:
        _record_doubt(state, entry, now_ms)
        return []
    if event.report.slow_start_ms > 0:
        return _record_cold(state, entry, event.report, now_ms)
    warmth = _warmth_of(state, entry)
    if requested_at_ms < warmth.doubted_at_ms:
        return []
    state.slow_starts.warmth_by_id[entry.target_id] = warmth._replace(
        cold_until_ms=clock.NEVER_MS,
        warm_at_ms=max(requested_at_ms, warmth.warm_at_ms),
    )
    if warmth.cold_until_ms == clock.NEVER_MS:
        return []
    return [_audit(entry, 'warm')]


def on_peer(
    state: world.World, event: events.PeerHeard, now_ms: clock.Millis
) -> list[actions.Action]:
    """Record that a target has turned cold, as a peer reports; pass it on."""
    message = event.message
    if not isinstance(message, messages.TargetCold):
        return []
    if not 0 < message.cold_ms <= MAX_COLD_MS:
        return [actions.Count('invalid-messages', 'TargetCold')]
    forwards = broadcast.forward_message(state, event.sender, message)
    entry = state.registry.entry_by_id.get(message.target_id)
    if entry is None or entry.born_ms != message.born_ms:
        return forwards
    if limit_of(state, entry.service) is None:
        return forwards
    source = f'peer {event.sender}'
    return [
        *_put_cold(state, entry, message.cold_ms, source, now_ms),
        *forwards,
    ]


def record_attempt(
    state: world.World,
    ended: calls.Attempt,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record that a target failed, or that its response states a slow start.

    An end of a reused connection counts as well, as a restart closes it.
    """
    entry = state.registry.entry_by_id.get(ended.target_id)
    if entry is None or limit_of(state, entry.service) is None:
        return []
    if event.load is not None and event.load.slow_start_ms:
        return _record_cold(state, entry, event.load, now_ms)
    if event.verdict in _FAILED_VERDICTS and not event.misdirected:
        _record_doubt(state, entry, now_ms)
    return []


def record_overdue(
    state: world.World,
    attempts: tuple[calls.Attempt, ...],
    now_ms: clock.Millis,
) -> None:
    """Record that the targets of a call have not answered until its end."""
    for attempt in attempts:
        entry = state.registry.entry_by_id.get(attempt.target_id)
        if entry is not None and limit_of(state, entry.service) is not None:
            _record_doubt(state, entry, now_ms)


def on_tick(
    state: world.World, event: events.Tick, now_ms: clock.Millis
) -> list[actions.Action]:
    """Record once a second which instances are known.

    While many of them are new, this instance has no part of any limit.
    """
    table = state.slow_starts
    if not state.policy.uses_slow_start_limits:
        return []
    if now_ms - table.reviewed_at_ms < REVIEW_PERIOD_MS:
        return []
    table.reviewed_at_ms = now_ms
    if table.first_reviewed_at_ms is None:
        table.first_reviewed_at_ms = now_ms
        table.no_share_until_ms = now_ms + SETTLE_MS
    if _is_review_recent(state, now_ms):
        return []
    old_count = len(table.known_by_id)
    new_count = _record_known(state, now_ms)
    if new_count > max(1, _MAX_GROWTH_SHARE * old_count):
        table.no_share_until_ms = now_ms + SETTLE_MS
    return []


def own_rate_per_s(
    state: world.World, entry: registry.Entry, now_ms: clock.Millis
) -> float:
    """Return this instance's part of a target's limit, 0 if it has none."""
    limit = limit_of(state, entry.service)
    if limit is None or not _may_have_part(state, now_ms):
        return 0
    sender_count = _sender_count(state)
    ready_before = 0
    for instance_id in _candidate_ids(state, entry):
        if instance_id == state.identity.instance_id:
            return sender_rate_per_s(state, limit)
        ready_before += instance_id in _ready_ids(state)
        if ready_before == sender_count:
            break
    return 0


def sender_rate_per_s(
    state: world.World, limit: operator_state.SlowStartLimit
) -> float:
    """Return the rate of each sender of a target.

    A sender may send its rate and one saved up call in any second. Two
    disjoint groups of senders, together with the share of the slack that is
    kept for calls sent before a slow start is noticed, stay within the bound.
    """
    kept = NOTICE_SHARE * state.policy.slow_start_slack
    allowed = bound_per_s(state, limit) - kept
    sender_count = _sender_count(state)
    rate_per_s = allowed / (2 * sender_count) - 1
    return max(
        min(rate_per_s, limit.per_s / sender_count),
        permit_buckets.MIN_RATE_PER_S,
    )


def bound_per_s(
    state: world.World, limit: operator_state.SlowStartLimit
) -> float:
    """Return how many calls a cold target may get in a second from all."""
    policy = state.policy
    return limit.per_s * policy.slow_start_overage + policy.slow_start_slack


def _warmth_of(state: world.World, entry: registry.Entry) -> slow_starts.Warmth:
    """Return what is known of the registered incarnation of a target."""
    known = state.slow_starts.warmth_by_id.get(entry.target_id)
    if known is not None and known.born_ms == entry.born_ms:
        return known
    return slow_starts.Warmth(entry.born_ms, entry.slow_start_until_ms)


def _record_cold(
    state: world.World,
    entry: registry.Entry,
    report: load_reports.Report,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record a stated slow start; tell the peers if it is news to them."""
    cold_ms = min(report.slow_start_ms or 0, MAX_COLD_MS)
    audits = _put_cold(state, entry, cold_ms, 'health', now_ms)
    if not audits or now_ms < entry.slow_start_until_ms:
        # It is known already, here or by the entry of the target.
        return audits
    notice = messages.TargetCold(entry.target_id, entry.born_ms, cold_ms)
    return [*audits, *broadcast.broadcast_message(state, notice)]


def _put_cold(
    state: world.World,
    entry: registry.Entry,
    cold_ms: clock.Millis,
    source: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record that a target is cold; return an audit entry if that is new."""
    warmth = _warmth_of(state, entry)
    until_ms = now_ms + cold_ms
    state.slow_starts.warmth_by_id[entry.target_id] = warmth._replace(
        cold_until_ms=until_ms, doubted_at_ms=now_ms
    )
    _record_cold_service(state, entry.service, until_ms)
    if now_ms < warmth.cold_until_ms:
        return []
    return [_audit(entry, f'cold for {cold_ms:.0f} ms', source)]


def _record_cold_service(
    state: world.World, service: str, until_ms: clock.Millis
) -> None:
    table = state.slow_starts.cold_until_ms_by_service
    table[service] = max(table.get(service, until_ms), until_ms)


def _record_doubt(
    state: world.World, entry: registry.Entry, now_ms: clock.Millis
) -> None:
    warmth = _warmth_of(state, entry)
    state.slow_starts.warmth_by_id[entry.target_id] = warmth._replace(
        doubted_at_ms=now_ms
    )


def _audit(
    entry: registry.Entry, change: str, source: str = 'health'
) -> actions.Action:
    return actions.Audit('target', entry.target_id, source, change)


def _tokens(
    state: world.World,
    entry: registry.Entry,
    rate_per_s: float,
    now_ms: clock.Millis,
) -> float:
    """Return the tokens for a target; a bucket starts empty."""
    since_ms = state.slow_starts.no_share_until_ms
    bucket = state.slow_starts.bucket_by_id.get(entry.target_id)
    if bucket is None or bucket.updated_at_ms < since_ms:
        bucket = budgets.TokenBucket(0, since_ms)
    return permit_buckets.tokens_at(bucket, rate_per_s, 1, now_ms)


def _sender_count(state: world.World) -> int:
    """Return how many instances send to a limited target at a time."""
    return 2 if state.policy.slow_start_slack >= _WIDE_SLACK else 1


def _may_have_part(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether this instance is ready and knows most others.

    False for an instance that has seeds but knows no other instance.
    """
    table = state.slow_starts
    if state.instances.phase is not instances.Phase.SERVING:
        return False
    if table.first_reviewed_at_ms is None or now_ms < table.no_share_until_ms:
        return False
    own = state.identity
    if len(table.known_by_id) < 2:
        return all(seed == own.peer_address for seed in state.members.seeds)
    if now_ms - table.first_reviewed_at_ms >= INCOMPLETE_VIEW_MS:
        return True
    known_data_centres = {row.data_centre for row in table.known_by_id.values()}
    return locality.data_centres(state) <= known_data_centres


def _is_review_recent(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether the members are as at a recent review of all of them."""
    table = state.slow_starts
    version = state.members.version
    is_known = table.recorded_version == version
    if is_known and now_ms - table.recorded_at_ms < RECORD_PERIOD_MS:
        return True
    table.recorded_version = version
    table.recorded_at_ms = now_ms
    return False


def _record_known(state: world.World, now_ms: clock.Millis) -> int:
    """Record the live instances; return how many of them are new."""
    table = state.slow_starts
    own = member_list.own_row(state)
    new_count = 0
    for row in (own, *state.members.member_by_incarnation.values()):
        if not row.is_live:
            continue
        known = table.known_by_id.get(row.instance_id)
        placement = (row.data_centre, row.capacity)
        new_count += known is None
        if known is None or known[:2] != placement:
            table.version += 1
        table.known_by_id[row.instance_id] = slow_starts.KnownInstance(
            *placement, now_ms
        )
    for instance_id, known_row in tuple(table.known_by_id.items()):
        if now_ms - known_row.seen_at_ms > KNOWN_MS:
            table.known_by_id.pop(instance_id)
            table.version += 1
    return new_count


def _record_pool_size(
    state: world.World, entry: registry.Entry, now_ms: clock.Millis
) -> None:
    """Record how many instances are assigned to the hosts of a service.

    The largest recent number counts, as the entries of the targets of a data
    centre may expire before they return.
    """
    table = state.slow_starts
    for host in host_assignment.hosts_of_service(state, entry.service):
        placement = (host, entry.data_centre)
        size = len(host_assignment.instances_for_host(state, *placement))
        held = table.pool_size_by_placement.get(placement)
        is_over = held and now_ms - held.counted_at_ms > KNOWN_MS
        if held is None or is_over or size >= held.size:
            table.pool_size_by_placement[placement] = slow_starts.PoolSize(
                size, now_ms
            )
            table.version += held is None or size != held.size


def _ready_ids(state: world.World) -> frozenset[str]:
    """Return the ids of the instances that are live and ready here."""
    table = state.slow_starts
    view = member_list.current_view(state)
    if table.ready_ids_version != view.version:
        table.ready_ids_version = view.version
        table.ready_ids = frozenset(
            row.instance_id
            for rows in view.live_by_data_centre.values()
            for row in rows
            if row.standing is members.Standing.READY
        )
    return table.ready_ids


def _candidate_ids(
    state: world.World, entry: registry.Entry
) -> tuple[str, ...]:
    """Return the instances that may ever send to a target while limited.

    These are as many as two groups of senders, of the instances that are
    assigned to its service: those of its data centre first, and last at least
    one of another data centre.
    """
    table = state.slow_starts
    in_force = state.routes.in_force
    source = (table.version, in_force.number if in_force else 0)
    if table.derived_from != source:
        table.derived_from = source
        table.candidate_ids_by_target.clear()
        table.pool_by_placement.clear()
    found = table.candidate_ids_by_target.get(entry.target_id)
    if found is None:
        found = _derive_candidate_ids(state, entry)
        table.candidate_ids_by_target[entry.target_id] = found
    return found


def _derive_candidate_ids(
    state: world.World, entry: registry.Entry
) -> tuple[str, ...]:
    count = 2 * _sender_count(state)
    remote_ids = _top_of_pools(state, entry, is_local=False)
    local_count = count - 1 if remote_ids else count
    local_ids = _top_of_pools(state, entry, is_local=True)[:local_count]
    return (*local_ids, *remote_ids[: count - len(local_ids)])


def _top_of_pools(
    state: world.World, entry: registry.Entry, is_local: bool
) -> tuple[str, ...]:
    """Return the first instances for a target of its data centre or others."""
    placements = {
        (host, row.data_centre)
        for row in state.slow_starts.known_by_id.values()
        for host in host_assignment.hosts_of_service(state, entry.service)
        if is_local == (row.data_centre == entry.data_centre)
    }
    pooled_ids = {
        instance_id
        for placement in placements
        for instance_id in _pool(state, placement)
    }
    return rendezvous.top_members(
        pooled_ids, entry.target_id, 2 * _sender_count(state)
    )


def _pool(
    state: world.World, placement: slow_starts.HostPlacement
) -> tuple[str, ...]:
    """Return the instances assigned to a host if all known ones were ready."""
    table = state.slow_starts
    host, data_centre = placement
    pool = table.pool_by_placement.get(placement)
    if pool is None:
        held = table.pool_size_by_placement.get(placement)
        size = max(held.size if held else 0, _MIN_ASSIGNED)
        pool = rendezvous.top_members(
            _similar_capacity_ids(table, data_centre), host, size
        )
        table.pool_by_placement[placement] = pool
    return pool


def _similar_capacity_ids(
    table: slow_starts.SlowStartsTable, data_centre: str
) -> list[str]:
    """Return the known instances of a data centre that may be assigned.

    The rule is that of ``host_assignment``.
    """
    capacity_by_id = {
        instance_id: row.capacity
        for instance_id, row in table.known_by_id.items()
        if row.data_centre == data_centre
    }
    ranked = sorted(capacity_by_id, key=lambda key: (-capacity_by_id[key], key))
    min_capacity = host_assignment.MIN_CAPACITY_SHARE * max(
        capacity_by_id.values(), default=0
    )
    large = [key for key in ranked if capacity_by_id[key] >= min_capacity]
    return large if len(large) >= _MIN_ASSIGNED else ranked[:_MIN_ASSIGNED]
