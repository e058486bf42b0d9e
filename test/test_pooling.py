"""Reports are shared in a data centre while reads run short, else not."""

import math
import statistics

import hypothesis
import pytest
from hypothesis import strategies

from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import codec
from oleanderstair.domain.tables import load_reports
from oleanderstair.domain.targets import pooling, trust
from oleanderstair.emulator import gateway_fleet, neighbours, plans

KIND = plans.Kind('lookup', 'burza', 0, plans.Work(40))
BUDGET = 60
PEER = 'entry-1~2'
BOUNDED = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
)


class _Watch:
    """What the instances of a fleet read, told and sent calls by."""

    def __init__(self, fleet: gateway_fleet.GatewayFleet) -> None:
        self.fleet = fleet
        self.read_at_ms: dict[str, list[float]] = {}
        self.report_ages_ms: list[float] = []
        self.told: list[tuple[float, messages.Message]] = []
        fleet.on_step.append(self._note)

    def most_reads_in_a_second(self) -> int:
        """Return the most reads of one target in any second."""
        return max(
            sum(0 <= other_ms - at_ms < 1000 for other_ms in times)
            for times in self.read_at_ms.values()
            for at_ms in times
        )

    def _note(
        self,
        state: world.World,
        event: events.Event,
        done: list[actions.Action],
    ) -> None:
        now_ms = self.fleet.times.now_ms()
        for action in done:
            match action:
                case actions.ReadLoad():
                    self.read_at_ms.setdefault(action.target_id, []).append(
                        now_ms,
                    )
                case actions.Dispatch():
                    known = load_reports.load_of(state.loads, action.target_id)
                    self.report_ages_ms.append(now_ms - known.reported_at_ms)
                case actions.SendPeer(
                    message=messages.LoadsWanted() | messages.LoadsTold(),
                ):
                    self.told.append((now_ms, action.message))


def _fleet(
    instances: int = 8,
    targets: int = 8,
    seed: int = 1,
) -> gateway_fleet.GatewayFleet:
    fleet = gateway_fleet.create(seed)
    for number in range(targets):
        target = fleet.add_target(f'burza-{number}', 'burza')
        target.machine = neighbours.Neighbours(
            neighbours.Noise(),
            fleet.rng,
        )
    fleet.publish(KIND)
    for number in range(instances):
        fleet.add_instance(
            f'entry-{number}',
            seeds=('entry-0',),
            assumed_instances=1,
            probes_per_s=BUDGET,
        )
    fleet.run_for(4000)
    return fleet


def _load(
    fleet: gateway_fleet.GatewayFleet,
    per_s: float,
    for_ms: float = 3000,
) -> None:
    """Let calls arrive at instances drawn at random."""
    for _ in range(int(per_s * for_ms / 1000)):
        fleet.call(fleet.rng.choice(sorted(fleet.member_by_id)), 'lookup')
        fleet.run_for(fleet.rng.expovariate(per_s / 1000))


# Patterns of load


def test_calls_of_the_crest_go_by_reports_of_the_last_moments() -> None:
    fleet = _fleet()
    watch = _Watch(fleet)
    _load(fleet, per_s=250)
    assert statistics.quantiles(watch.report_ages_ms, n=10)[7] <= 50
    assert watch.most_reads_in_a_second() <= BUDGET
    assert fleet.counts['pooled-reports', 'kept']
    assert fleet.counts['choices-by-peer', 'burza']


def test_calm_hours_send_no_reports_to_peers() -> None:
    fleet = _fleet()
    watch = _Watch(fleet)
    _load(fleet, per_s=8)
    assert not watch.told


def test_reports_end_soon_after_the_crest() -> None:
    fleet = _fleet()
    _load(fleet, per_s=250)
    fleet.run_for(pooling.SHORT_MS + pooling.WANTED_MS)
    watch = _Watch(fleet)
    _load(fleet, per_s=8)
    assert not watch.told


@pytest.mark.parametrize('instances', [17, 70])
def test_a_crest_at_many_instances_keeps_both_bounds(instances: int) -> None:
    fleet = _fleet(instances=instances)
    watch = _Watch(fleet)
    _load(fleet, per_s=400, for_ms=1500)
    assert watch.most_reads_in_a_second() <= BUDGET
    reports = [
        told for _, told in watch.told if isinstance(told, messages.LoadsTold)
    ]
    assert len(reports) <= instances * 1.5 * 1000 / pooling.SPACING_MS
    assert max(len(codec.encode(told)) for told in reports) < 2000


def test_a_neighbour_that_freezes_at_the_crest_takes_nothing_late() -> None:
    fleet = _fleet()
    _load(fleet, per_s=250, for_ms=1000)
    fleet.freeze('entry-1', 1500)
    frozen = fleet.member_by_id['entry-1']
    _load(fleet, per_s=250, for_ms=1000)
    fleet.run_for(frozen.frozen_until_ms - fleet.times.now_ms() - 10)
    told: list[float] = []
    fleet.on_step.append(
        lambda state, event, done: told.extend(
            known.reported_at_ms
            for known in state.loads.load_by_id.values()
            if state is frozen.state and known.told_by
        ),
    )
    heard: list[events.Event] = []
    fleet.on_step.append(
        lambda state, event, done: (
            heard.append(event) if state is frozen.state else None
        ),
    )
    fleet.run_for(11)
    woke_at_ms = frozen.frozen_until_ms
    assert any(isinstance(event, events.PeerHeard) for event in heard)
    assert max(told) < woke_at_ms - pooling.SLEPT_MS


def test_a_data_centre_that_is_cut_off_goes_on_by_itself() -> None:
    fleet = _fleet()
    for number in range(1, 8):
        fleet.links.cut('entry-0', f'entry-{number}')
    watch = _Watch(fleet)
    _load(fleet, per_s=250)
    assert watch.most_reads_in_a_second() <= BUDGET
    fleet.run_for(2000)
    assert len(fleet.told_by_call) == len(set(fleet.told_by_call))


# What is made of a message


def _asked() -> tuple[world.World, float]:
    """Return an instance that has just asked, and its time."""
    fleet = _fleet(instances=2, targets=2)
    state = fleet.member_by_id['entry-0'].state
    now_ms = fleet.times.now_ms()
    state.members.last_tick_ms = now_ms
    entry = state.registry.entry_by_id['burza-0']
    for _ in range(pooling.DENIED):
        pooling.note_short(state, entry, now_ms)
    asked = pooling.ask(state, now_ms)
    assert [action.message for action in asked] == [messages.LoadsWanted(1)]
    return state, now_ms


def _told(**changed: object) -> messages.ToldLoad:
    told = messages.ToldLoad('burza-0', 1, 2, 0, 4, 5.0, age_ms=10)
    return told._replace(**changed)


def _hear(
    state: world.World,
    now_ms: float,
    told: messages.ToldLoad,
    sender: str = PEER,
    number: int = 1,
) -> load_reports.Load:
    heard = messages.LoadsTold(number, (told,))
    pooling.on_peer(state, events.PeerHeard(sender, heard), now_ms)
    return load_reports.load_of(state.loads, told.target_id)


def test_a_told_report_counts_as_read_when_it_was() -> None:
    state, now_ms = _asked()
    known = _hear(state, now_ms, _told())
    assert known.report == load_reports.Report(2, 0, 4, 5.0)
    assert known.reported_at_ms == now_ms - 10
    assert known.told_by == PEER
    assert pooling.spares_read(state, 'burza-0', now_ms)
    assert not pooling.spares_read(state, 'burza-0', now_ms + 30)


def test_calls_sent_after_a_told_report_still_count() -> None:
    state, now_ms = _asked()
    load_reports.put_load(
        state.loads,
        load_reports.Load(
            'burza-0',
            sent_at_ms=(now_ms - 40, now_ms - 4),
            in_flight=2,
        ),
    )
    known = _hear(state, now_ms, _told())
    assert known.sent_since == 1
    assert known.in_flight == 2


def test_an_older_report_replaces_no_own_one() -> None:
    state, now_ms = _asked()
    own = load_reports.Load(
        'burza-0',
        load_reports.Report(0, 0, 4),
        reported_at_ms=now_ms - 9,
    )
    load_reports.put_load(state.loads, own)
    assert _hear(state, now_ms, _told()) == own


def test_trust_of_the_own_evidence_stays() -> None:
    state, now_ms = _asked()
    trust.note_failure(state, 'burza-0', trust.FAILED, now_ms)
    before = load_reports.load_of(state.loads, 'burza-0')
    known = _hear(state, now_ms, _told())
    assert known.report is not None
    assert (known.doubt, known.bars) == (before.doubt, before.bars)
    assert trust.is_barred(known, now_ms)


def test_a_target_that_is_silent_here_stays_silent() -> None:
    state, now_ms = _asked()
    load_reports.put_load(
        state.loads,
        load_reports.Load('burza-0', silent_until_ms=now_ms + 100),
    )
    assert _hear(state, now_ms, _told()).report is None


@pytest.mark.parametrize(
    'told',
    [
        _told(born_ms=2),
        _told(age_ms=-1),
        _told(age_ms=math.nan),
        _told(age_ms=1000),
        _told(slowness=0),
        _told(slowness=math.inf),
        _told(slots=0),
        _told(running=-1),
        _told(target_id='nobody'),
    ],
)
def test_what_cannot_be_is_not_believed(told: messages.ToldLoad) -> None:
    state, now_ms = _asked()
    assert _hear(state, now_ms, told).report is None


def test_strangers_and_answers_to_no_ask_are_not_believed() -> None:
    state, now_ms = _asked()
    assert _hear(state, now_ms, _told(), sender='x~1').report is None
    assert _hear(state, now_ms, _told(), number=2).report is None
    late_ms = now_ms + pooling.WANTED_MS + 1
    state.members.last_tick_ms = late_ms
    assert _hear(state, late_ms, _told()).report is None


def test_what_waited_while_this_instance_slept_is_not_believed() -> None:
    state, now_ms = _asked()
    woke_ms = now_ms + 2 * pooling.SLEPT_MS
    assert _hear(state, woke_ms, _told()).report is None


def test_what_a_peer_told_is_not_told_on() -> None:
    state, now_ms = _asked()
    wanted = events.PeerHeard(PEER, messages.LoadsWanted(7))
    pooling.on_peer(state, wanted, now_ms)
    _hear(state, now_ms, _told())
    state.pool.untold['burza-0'] = None
    assert not pooling.on_loads_due(state, events.LoadsDue(), now_ms)


def test_a_peer_that_asked_is_told_once_for_a_sample() -> None:
    state, now_ms = _asked()
    wanted = events.PeerHeard(PEER, messages.LoadsWanted(7))
    pooling.on_peer(state, wanted, now_ms)
    for target_id in ('burza-0', 'burza-1'):
        known = load_reports.load_of(state.loads, target_id)
        load_reports.put_load(
            state.loads,
            known._replace(
                report=load_reports.Report(1, 0, 4),
                reported_at_ms=now_ms,
                told_by='',
            ),
        )
    told = pooling.on_reported(state, 'burza-0', is_read=False, now_ms=now_ms)
    assert not told
    first = pooling.on_reported(state, 'burza-0', is_read=True, now_ms=now_ms)
    assert isinstance(first[0], actions.Schedule)
    assert not pooling.on_reported(
        state, 'burza-1', is_read=True, now_ms=now_ms
    )
    sent = pooling.on_loads_due(state, events.LoadsDue(), now_ms + 3)
    assert [action.incarnation for action in sent] == [PEER]
    told = sent[0].message
    assert told.number == 7
    assert [load.age_ms for load in told.loads] == [3, 3]
    late_ms = now_ms + pooling.WANTED_MS + 1
    pooling.on_reported(state, 'burza-0', is_read=True, now_ms=late_ms)
    assert not pooling.on_loads_due(state, events.LoadsDue(), late_ms)


LOADS = strategies.builds(
    messages.ToldLoad,
    target_id=strategies.text(max_size=8),
    born_ms=strategies.integers(0, 2**62),
    running=strategies.integers(0, 99),
    waiting=strategies.integers(0, 99),
    slots=strategies.integers(0, 99),
    slowness=strategies.floats(allow_nan=False),
    age_ms=strategies.floats(allow_nan=False),
)


@BOUNDED
@hypothesis.given(strategies.lists(LOADS, max_size=20), strategies.integers(0))
def test_told_reports_survive_the_wire(
    loads: list[messages.ToldLoad],
    number: int,
) -> None:
    number %= 2**63
    told = messages.LoadsTold(number, tuple(loads))
    assert codec.decode(codec.encode(told)).ok_value == told
    wanted = messages.LoadsWanted(number)
    assert codec.decode(codec.encode(wanted)).ok_value == wanted
