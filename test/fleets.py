"""A fleet of gateways on a virtual clock, with a store and a network."""

import dataclasses
import functools
import heapq
import itertools
import math
import random

from oleanderstair.domain import actions, events, gateway, policy, world
from oleanderstair.domain.configuration import routing as config
from oleanderstair.domain.fleet import codec, member_list
from oleanderstair.domain.tables import identity, registry, routes
from oleanderstair.emulator import watched_store
from oleanderstair.engine import frame_cache

TICK_MS = 50
LINK_MS = 1
STORE_MS = 4
ROUTE = routes.Route(
    name='r1',
    host='h',
    prefix='/a/',
    parts=(routes.SplitPart('svc', 1),),
    idempotent=True,
    timeout_ms=1000,
    aim_ms=500,
    rank=0,
    max_attempts=2,
)


def routing(number):
    return routes.Routing(
        number=number,
        routes_by_host={'h': (ROUTE,)},
        service_by_name={'svc': routes.RoutedService('svc', '/health', 9)},
        limits=routes.CallerLimits(),
    )


def entry(target_id, revision=1, leaving=False, born_ms=1, **fields):
    built = registry.Entry(
        target_id=target_id,
        service='svc',
        address=f'10.9.0.{target_id}:80',
        data_centre='a',
        slots=4,
        leaving=leaving,
        born_ms=born_ms,
        slow_start_until_ms=0,
        revision=revision,
    )
    return built._replace(**fields)


def large_routing(number, route_count):
    """Return a configuration with many routes of unlike names."""
    rng = random.Random(number)
    hosts = [f'{rng.getrandbits(32):x}.example' for _ in range(90)]
    rows = [
        ROUTE._replace(
            name=f'{rng.getrandbits(32):x}',
            host=rng.choice(hosts),
            prefix=f'/{rng.getrandbits(32):x}/{rng.getrandbits(8):x}/',
        )
        for _ in range(route_count)
    ]
    return routing(number)._replace(routes_by_host=config.index_routes(rows))


def introduce(states, now_ms):
    """Let instances that have started alone know each other."""
    rows = [member_list.own_row(state) for state in states]
    for state in states:
        own = state.identity
        table = state.members
        for row in rows:
            if row.incarnation == own.incarnation:
                continue
            table.member_by_incarnation[row.incarnation] = row
            table.beat_rose_at_ms[row.incarnation] = now_ms
            if row.data_centre != own.data_centre:
                contacts = table.contact_at_ms_by_data_centre
                contacts[row.data_centre] = now_ms
        table.version += 1


class Store(watched_store.WatchedStore):
    """The platform's store, which records the instances that call it."""

    def __init__(self):
        super().__init__()
        self.asked_by = []

    @property
    def refused(self):
        return self.refused_ids

    def publish(self, number):
        return self._publish(routing(number))

    def publish_large(self, number, route_count):
        return self._publish(large_routing(number, route_count))

    def _publish(self, built):
        return watched_store.WatchedStore.publish(self, built)

    def end(self, target_id):
        assert target_id in self.entry_by_id
        return self.remove(target_id)


@dataclasses.dataclass
class Instance:
    """One gateway; ``frozen`` stops its ticks and delays its messages."""

    state: world.World
    frozen: bool = False
    dead: bool = False
    done: list = dataclasses.field(default_factory=list)


@functools.lru_cache(maxsize=16)
def decode_frame(frame):
    return codec.decode(frame).ok_value


class Fleet:
    """Instances, the network between them, and a virtual clock."""

    def __init__(
        self,
        count_by_data_centre,
        seeds=('a1:1',),
        seed=1,
        start_ms=250,
        capacity_by_id=None,
        link_bytes_per_ms=math.inf,
        **limits,
    ):
        self.capacity_by_id = capacity_by_id or {}
        self.start_ms = start_ms
        self.limits = {
            'answer_validity_ms': 2000,
            'peer_silence_ms': 2000,
            **limits,
        }
        self.now_ms = 0
        self.rng = random.Random(seed)
        self.store = Store()
        self.seeds = seeds
        self.by_address = {}
        self.cut_pairs = set()
        self.link_bytes_per_ms = link_bytes_per_ms
        self._link_free_at_ms = {}
        self._frames = frame_cache.create()
        self.away_bytes = 0
        self.peer_bytes = 0
        self.peer_messages = 0
        self._queue = []
        self._order = itertools.count()
        for data_centre, count in count_by_data_centre.items():
            for number in range(1, count + 1):
                self.start(f'{data_centre}{number}', data_centre)

    def start(self, instance_id, data_centre):
        address = f'{instance_id}:1'
        own = identity.Identity(
            instance_id=instance_id,
            incarnation=f'{instance_id}~{next(self._order)}',
            region='r',
            data_centre=data_centre,
            caller_address=f'{instance_id}:2',
            peer_address=address,
            capacity=self.capacity_by_id.get(instance_id, 1),
        )
        state = world.create(
            own,
            policy.Policy(**self.limits),
            random.Random(self.rng.random()),
        )
        state.members.seeds = tuple(self.seeds)
        state.members.started_ms = int(self.now_ms)
        instance = Instance(state)
        self.by_address[address] = instance
        self.later(self.rng.uniform(0, self.start_ms), self.tick, instance)
        return instance

    def introduce(self):
        """Let all instances know each other, once each has started alone."""
        introduce([instance.state for instance in self.living], self.now_ms)

    def at(self, instance_id):
        return self.by_address[f'{instance_id}:1']

    def kill(self, instance_id):
        self.at(instance_id).dead = True

    @property
    def living(self):
        return [
            instance
            for instance in self.by_address.values()
            if not instance.dead
        ]

    def cut(self, origin, to):
        self.cut_pairs.add((f'{origin}:1', f'{to}:1'))

    def later(self, after_ms, callback, *args):
        due_ms = self.now_ms + after_ms
        heapq.heappush(self._queue, (due_ms, next(self._order), callback, args))

    def run(self, for_ms):
        end_ms = self.now_ms + for_ms
        while self._queue and self._queue[0][0] <= end_ms:
            due_ms, _, callback, args = heapq.heappop(self._queue)
            self.now_ms = due_ms
            callback(*args)
        self.now_ms = end_ms

    def run_until(self, condition, within_ms):
        """Run until the condition holds; return the ms that it took."""
        began_ms = self.now_ms
        while self.now_ms - began_ms < within_ms:
            if condition():
                return self.now_ms - began_ms
            self.run(1)
        raise AssertionError(f'not within {within_ms} ms')

    def tick(self, instance):
        if instance.dead:
            return
        if not instance.frozen:
            self.handle(instance, events.Tick())
        self.later(TICK_MS, self.tick, instance)

    def handle(self, instance, event):
        if instance.dead:
            return
        if instance.frozen:
            self.later(TICK_MS, self.handle, instance, event)
            return
        for action in gateway.step(instance.state, event, self.now_ms):
            instance.done.append(action)
            self.perform(instance, action)

    def perform(self, instance, action):
        if isinstance(action, actions.SendPeer):
            self._send(instance, action)
        elif isinstance(action, (actions.ReadStore, actions.WatchStore)):
            self._ask(instance, action)

    def _send(self, instance, action):
        origin = instance.state.identity
        other = self.by_address.get(action.address)
        frame = self._frames.encode(action.message)
        self.peer_bytes += len(frame)
        self.peer_messages += 1
        if other is None or (origin.peer_address, action.address) in (
            self.cut_pairs
        ):
            return
        if other.state.identity.data_centre != origin.data_centre:
            self.away_bytes += len(frame)
        message = decode_frame(frame)
        event = events.PeerHeard(origin.incarnation, message)
        sent_ms = self._occupy_link(origin.peer_address, len(frame))
        received_ms = self._occupy_link(
            f'to {action.address}', len(frame), sent_ms
        )
        self.later(received_ms + LINK_MS, self.handle, other, event)

    def _occupy_link(self, link, size, from_ms=0):
        """Return the ms from now until a frame has passed a link."""
        took_ms = size / self.link_bytes_per_ms
        begins_at_ms = max(
            self.now_ms + max(from_ms - took_ms, 0),
            self._link_free_at_ms.get(link, 0),
        )
        self._link_free_at_ms[link] = begins_at_ms + took_ms
        return begins_at_ms + took_ms - self.now_ms

    def _ask(self, instance, action):
        self.store.calls += 1
        name = instance.state.identity.instance_id
        self.store.asked_by.append(name)
        if self.store.refuses(name):
            failed = events.StoreFailed('refused')
            self.later(STORE_MS, self.handle, instance, failed)
        elif isinstance(action, actions.ReadStore):
            self.later(STORE_MS, self.handle, instance, self.store.read())
        else:
            ends_ms = self.now_ms + action.bound_ms
            self._watch(instance, action.after_revision, ends_ms)

    def _watch(self, instance, revision, ends_ms):
        if self.store.down:
            self.handle(instance, events.StoreFailed('closed'))
        elif self.store.is_forgotten(revision):
            self.later(STORE_MS, self.handle, instance, events.HistoryLost())
        elif self.store.revision > revision or self.now_ms >= ends_ms:
            changed = self.store.changes_after(revision)
            self.later(STORE_MS, self.handle, instance, changed)
        else:
            self.later(5, self._watch, instance, revision, ends_ms)


def make_three_data_centres(count=7, **options):
    fleet = Fleet({'a': count, 'b': count, 'c': count - 1}, **options)
    fleet.store.publish(4)
    for number in range(1, 31):
        fleet.store.put(entry(str(number)))
    return fleet
