"""From a request's id to the cause of its end, by log lines alone."""

import json
import pathlib

import cappa
import pytest

from oleanderstair import errors
from oleanderstair.domain import events
from oleanderstair.domain.tables import concurrency
from oleanderstair.emulator import gateway_fleet, gateway_targets
from oleanderstair.explaining import causes, sinks, stories
from oleanderstair.ui import explain
from test import test_decisions, test_gateway_fleet

Behaviour = gateway_targets.Behaviour
LESS_URGENT = test_gateway_fleet.LOOKUP._replace(name='count', rank=1)
LOGS = pathlib.Path(__file__).parent / 'logs'


def told(sink: sinks.ListSink, request_id: str) -> stories.Story:
    """Return the story of a request as its instance wrote it."""
    return stories.follow(request_id, stories.read('entry-0', sink.lines))


def shed_by_all(fleet: gateway_fleet.GatewayFleet) -> None:
    for target in fleet.target_by_id.values():
        target.behaviour = Behaviour.SHED
    fleet.call('entry-0', 'lookup', request_id='r')


def lost_answer(fleet: gateway_fleet.GatewayFleet) -> None:
    for target in fleet.target_by_id.values():
        target.behaviour = Behaviour.LOSE_ANSWER
    fleet.call('entry-0', 'order', request_id='r', deadline_ms=400)


def slow_run(fleet: gateway_fleet.GatewayFleet) -> None:
    for target in fleet.target_by_id.values():
        target.work = lambda received, rng: 600
    fleet.call('entry-0', 'order', request_id='r')


def gone_caller(fleet: gateway_fleet.GatewayFleet) -> None:
    slow_run(fleet)
    left = events.CallerLeft(1)
    fleet.times.after(50, lambda: fleet.step('entry-0', left))


def no_route(fleet: gateway_fleet.GatewayFleet) -> None:
    fleet.call('entry-0', 'nothing', request_id='r')


def failing_target(fleet: gateway_fleet.GatewayFleet) -> None:
    for target in fleet.target_by_id.values():
        target.behaviour = Behaviour.FAIL
    fleet.call('entry-0', 'order', request_id='r')


def no_room(fleet: gateway_fleet.GatewayFleet) -> None:
    for target in fleet.target_by_id.values():
        target.work = lambda received, rng: 900
    for number in range(100):
        fleet.call('entry-0', 'lookup', request_id=f'before-{number}')
    fleet.times.after(
        100,
        lambda: fleet.call('entry-0', 'lookup', request_id='r'),
    )


def behind_others(
    fleet: gateway_fleet.GatewayFleet,
    others: int,
    kind: str = 'lookup',
) -> None:
    for target in fleet.target_by_id.values():
        target.work = lambda received, rng: 900
    for number in range(others):
        fleet.call('entry-0', 'lookup', request_id=f'before-{number}')
    fleet.times.after(
        10,
        lambda: fleet.call('entry-0', kind, request_id='r'),
    )


def no_second(fleet: gateway_fleet.GatewayFleet) -> None:
    for target in fleet.target_by_id.values():
        target.work = lambda received, rng: 900
    fleet.call('entry-0', 'lookup', request_id='r', deadline_ms=600)


@pytest.mark.parametrize(
    ('scene', 'cause'),
    [
        (shed_by_all, 'target-refused after 1.8 ms, it has not run'),
        (lost_answer, 'the deadline of its caller was 400 ms; attempt 1'),
        (slow_run, 'later than aimed: burza-'),
        (gone_caller, 'the caller left after 50 ms; attempt 1'),
        (no_route, 'configuration 1 has no route for calls.example/nothing/'),
        (failing_target, 'itself answered 500'),
        (no_room, 's at the entry, as none of burza-'),
        (no_room, 'at its end 0 of 2 targets had room, 0 of them on slow'),
        (no_second, 'no second attempt, as the retry budget had no part left'),
    ],
)
def test_the_lines_alone_name_the_cause(scene, cause: str) -> None:
    fleet, sink = test_decisions.logged_fleet()
    scene(fleet)
    fleet.run_for(3000)
    assert cause in told(sink, 'r').cause


def test_a_call_that_joins_the_line_says_behind_whom() -> None:
    fleet, sink = test_decisions.logged_fleet()
    behind_others(fleet, 40)
    fleet.run_for(3000)
    cause = told(sink, 'r').cause
    assert 'others waited for its service already (' in cause
    assert ' of rank 0; its own is 0); at its end 0 of 2 targets had' in cause


def know_all_slots_good(fleet: gateway_fleet.GatewayFleet) -> None:
    """Let instances know that these targets don't slow down when full."""
    for member in fleet.member_by_id.values():
        seen = concurrency.LogMean(0, 20)
        member.state.concurrency.latency_ratio_by_level['burza', 4] = seen


def test_a_call_that_is_compared_at_once_says_with_which_targets() -> None:
    fleet, sink = test_decisions.logged_fleet()
    know_all_slots_good(fleet)
    behind_others(fleet, 8)
    fleet.run_for(3000)
    kinds = [line.kind for line in told(sink, 'r').decisions]
    assert kinds == ['call', 'queued', 'refused']
    assert 'as none of burza-' in told(sink, 'r').cause


def test_a_less_urgent_call_that_finds_the_line_full_says_so() -> None:
    fleet, sink = test_decisions.logged_fleet()
    fleet.publish(test_gateway_fleet.LOOKUP, LESS_URGENT)
    fleet.run_for(3000)
    behind_others(fleet, 90, LESS_URGENT.name)
    fleet.run_for(3000)
    cause = told(sink, 'r').cause
    assert '64 others waited already; it was never sent' in cause
    assert '2 targets were known by registry' in cause


def test_a_caller_that_leaves_before_its_call_is_told() -> None:
    text = 'event=caller-left at=1.0 id=r where=at-start after_ms=40.0'
    story = stories.follow('r', stories.read('entry-1', [text]))
    assert story.cause == (
        'the caller left after 40.0 ms, while its instance did not know'
        ' the routes yet'
    )


def test_a_failed_connection_says_what_was_wrong() -> None:
    lines = [
        'event=call at=1.0 id=r runs=once most_sends=2',
        'event=sent at=1.1 id=r attempt=7 target=i-1 why=first',
        'event=attempt-failed at=1.2 id=r attempt=7 cause="it ended"',
        'event=attempt-ended at=1.2 id=r attempt=7 verdict=broken took_ms=9.0',
        'event=refused at=1.2 id=r outcome=unknown reason=target-lost sends=1',
    ]
    story = stories.follow('r', stories.read('entry-1', lines))
    assert 'i-1 was broken after 9.0 ms (it ended); not sent' in story.cause


def test_beliefs_of_a_former_incarnation_are_left_out() -> None:
    lines = [
        'event=audit-configuration at=8.0 subject=25 actor=peer',
        'event=started at=9.0 instance=entry-1~2',
        'event=store-lost at=9.5 why="status 503"',
        'event=call at=10.0 id=r',
        'event=refused at=10.0 id=r reason=unconfirmed',
        'event=started at=10.0001 instance=entry-1~3',
    ]
    story = stories.follow('r', stories.read('entry-1', lines))
    assert [line.kind for line in story.context] == ['started', 'store-lost']


@pytest.mark.parametrize(
    ('request_id', 'cause'),
    [
        ('e3aa50bca0e280ea', 'left after 911.4 ms; attempt 19 (first) at i-f'),
        ('7f88600b8ff1392f', 'report 4+2/4@12.00, 624.5 ms old'),
        ('8faa5710865126c6', 'not sent again, as its route runs once'),
        ('225e83f5f3a3a3de', '(hedge) at i-507a5f8281 was answered 500 after'),
        ('28806133988bf8eb', 'by registry 0 and configuration 0'),
        ('ae951f093bfcfa5b', 'i-ddd6e5049a took 309.2 ms (chosen on report'),
        ('46afd3b99f415b1c', 'at a planned stop'),
    ],
)
def test_the_cause_of_a_request_of_a_hunted_day(
    request_id: str,
    cause: str,
) -> None:
    lines = (LOGS / 'hunted-day.log').read_text(encoding='utf-8').splitlines()
    story = stories.follow(request_id, stories.read('all', lines))
    assert cause in story.cause


def test_what_the_instance_believed_of_the_targets_is_told() -> None:
    lines = [
        'event=audit-target at=8.0 subject=i-1 actor=registry why=leaving',
        'event=audit-target at=8.0 subject=i-2 actor=registry why=leaving',
        'event=store-lost at=9.0 why="status 503"',
        'event=call at=10.0 id=r route=a',
        'event=sent at=10.0 id=r attempt=1 target=i-1 why=first',
        'event=store-regained at=30.0',
    ]
    story = stories.follow('r', stories.read('entry-1', lines))
    assert [line.kind for line in story.context] == [
        'audit-target',
        'store-lost',
    ]
    assert 'has not ended by the last line' in story.cause


def test_lines_of_several_instances_are_told_in_order() -> None:
    later = stories.read('b', ['event=refused at=2.0 id=r reason=stopping'])
    first = stories.read('a', ['0.1 x event=call at=1.0 id=r', 'other text'])
    story = stories.follow('r', [*later, *first])
    assert [line.source for line in story.decisions] == ['x', 'b']


def test_a_request_that_no_line_names_is_said_to_be_so(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'entry-1.log'
    path.write_text('event=started at=1.0 instance=x\n', encoding='utf-8')
    with pytest.raises(SystemExit) as ended:
        cappa.invoke(explain.Explain, argv=['r', str(path), '--json'])
    assert ended.value.code == 1
    document = json.loads(capsys.readouterr().out)[0]
    assert document['cause'] == causes.UNTOLD


def test_a_torn_line_is_named_with_its_place(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'entry-1.log'
    path.write_text(
        'event=call at=1.0 id=r\nevent=call id="x\n',
        encoding='utf-8',
    )
    with pytest.raises(errors.UserError, match='entry-1.log:2'):
        cappa.invoke(explain.LogsCheck, argv=[str(path)])
