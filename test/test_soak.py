"""The soak: plans from seeds, harmed links, checks that can fail, one run.

The run judges what was seen; a bound of time that a stall of the machine
may have broken is left unjudged, so its verdict depends on no speed.
"""

import contextlib
import socket

import anyio
import msgspec
import pytest

from oleanderstair import clock
from oleanderstair.emulator import store
from soak import bounds, checks, command, plan, proxy, record

SEEDS = (4, 7, 10)
"""Two stops, a new configuration, a rate limit and an evacuation; a pause, a
silent link and a reload; targets that leave, an evacuation, a restore of the
store and a new configuration."""

SECONDS = 4


# Plans


def test_a_seed_is_a_scenario():
    assert plan.draw(7, 20) == plan.draw(7, 20)
    assert plan.draw(7, 20) != plan.draw(11, 20)
    for seed in range(1, 9):
        drawn = plan.draw(seed, 20)
        assert list(drawn.faults) == sorted(drawn.faults, key=plan.order)
        assert len(drawn.faults) >= 16


def test_every_fourth_seed_has_planned_work_only():
    for seed in (4, 8, 12):
        drawn = plan.draw(seed, 20)
        assert {fault.kind for fault in drawn.faults} <= set(plan.PLANNED)


def test_seeds_bring_every_kind_of_fault():
    faults = [one for seed in range(50) for one in plan.draw(seed, 20).faults]
    assert {fault.kind for fault in faults} == set(plan.Kind)
    links = {fault.where for fault in faults if fault.kind in plan.LINKS}
    assert links == set(plan.links())


# Links


async def echo(stream):
    """Send back what comes."""
    async with stream:
        with contextlib.suppress(anyio.BrokenResourceError):
            async for chunk in stream:
                await stream.send(chunk)


def through_link(scenario):
    """Run a scenario with a link to an echo and a stream through it."""

    async def run():
        with anyio.fail_after(bounds.START_S):
            async with anyio.create_task_group() as tasks:
                far = await anyio.create_tcp_listener(local_host='127.0.0.1')
                tasks.start_soon(far.serve, echo)
                port = far.extra(anyio.abc.SocketAttribute.local_port)
                link = proxy.start(f'127.0.0.1:{port}', tasks)
                async with await connect(link) as stream:
                    await stream.send(b'first')
                    assert await stream.receive() == b'first'
                    await scenario(link, stream)
                tasks.cancel_scope.cancel()

    anyio.run(run)


async def connect(link):
    """Connect to the near end of a link."""
    host, _, port = link.near.rpartition(':')
    return await anyio.connect_tcp(host, int(port))


@pytest.mark.parametrize(
    'kind',
    [plan.Kind.CUT_UP, plan.Kind.CUT_DOWN, plan.Kind.SILENT],
)
def test_what_a_cut_holds_up_arrives_after_it(kind):
    async def scenario(link, stream):
        with link.harmed(plan.Fault(kind, '', 0, 0)):
            await stream.send(b'second')
            with anyio.move_on_after(0.1) as waited:
                await stream.receive()
            assert waited.cancelled_caught
        assert await stream.receive() == b'second'

    through_link(scenario)


def test_delay_holds_each_way_up():
    told = clock.create_monotonic()

    async def scenario(link, stream):
        with link.harmed(plan.Fault(plan.Kind.DELAY, '', 0, 0, 50)):
            began_ms = told.now_ms()
            await stream.send(b'second')
            assert await stream.receive() == b'second'
            assert told.now_ms() - began_ms >= 100

    through_link(scenario)


def test_reset_breaks_open_and_new_connections():
    async def scenario(link, stream):
        with link.harmed(plan.Fault(plan.Kind.RESET, '', 0, 0)):
            with pytest.raises(anyio.BrokenResourceError) as broken:
                await stream.receive()
            assert isinstance(broken.value.__cause__, ConnectionResetError)
            async with await connect(link) as new:
                with pytest.raises(anyio.BrokenResourceError):
                    await new.receive()
        async with await connect(link) as later:
            await later.send(b'again')
            assert await later.receive() == b'again'

    through_link(scenario)


def test_link_passes_the_end_on_and_refuses_for_a_dead_end():
    async def scenario(link, stream):
        await stream.send_eof()
        with pytest.raises(anyio.EndOfStream):
            await stream.receive()
        with socket.create_server(('127.0.0.1', 0)) as gone:
            link.address = '127.0.0.1:{}'.format(gone.getsockname()[1])
        async with await connect(link) as new:
            with pytest.raises(anyio.BrokenResourceError):
                await new.receive()

    through_link(scenario)


# Checks

LOOKUP = record.Call(
    request_id='c-1',
    route='lookup',
    once=False,
    instance='entry-1',
    lives=(1, 1),
    sent_s=10,
    ended_s=10.5,
    status=200,
    end='answered',
    answered_id='c-1',
    signed=True,
    body=b'served c-1',
)
RUN = record.Run('c-1', 'burza-1', 10.2, 'GET', '/lookup/', b'')
VERSION = LOOKUP._replace(version=2, status=404)
SERVED_BEFORE = VERSION._replace(status=200, sent_s=8, ended_s=8.1)


SENT = dict.fromkeys(('c-1', 'c-2'), record.Sent('GET', '/lookup/', b''))


def scene_of(*calls, runs=(RUN,), **fields):
    """Return a record of calls and runs."""
    return record.Record(
        calls=list(calls), runs=list(runs), sent_by_id=SENT, **fields
    )


KNOWN = {'published': [(1, 1), (2, 6)]}
LEFT = {'leaving': [record.Span('burza-1', 7, 20)]}
EVACUATED = {'evacuated': [record.Span('trnava', 5, 20)]}
LIMITED = {'limited': [record.Span('burza-1', 7, 20)]}
BROKEN = {
    'refused-ran': scene_of(LOOKUP._replace(status=503)),
    'ran-twice': scene_of(LOOKUP._replace(once=True), runs=(RUN, RUN)),
    'mixed': scene_of(LOOKUP._replace(body=b'served c-')),
    'altered': scene_of(runs=(RUN._replace(path='/other/'),)),
    'denied': scene_of(LOOKUP._replace(status=404)),
    'cut': scene_of(LOOKUP._replace(status=0, end='cut')),
    'replaced': scene_of(LOOKUP._replace(status=502, signed=False)),
    'leaving': scene_of(LOOKUP, **LEFT),
    'evacuated': scene_of(LOOKUP, **EVACUATED),
    'limit': scene_of(LOOKUP, runs=(RUN,) * 18, **LIMITED),
    'cold': scene_of(LOOKUP, runs=(RUN,) * 21, cold=LIMITED['limited']),
    'not-in-force': scene_of(VERSION, **KNOWN),
    'reverted': scene_of(SERVED_BEFORE, VERSION, published=[(1, 1), (2, 8)]),
    'ended': scene_of(ended_alone=['entry-1']),
    'not-recovered': scene_of(instances=('entry-1',)),
}
STALL = {'stalls': [record.Span('soak', 9, 9.5)]}
STRUCK = record.Span('entry-1', 3, 8)


def found(seen):
    """Return the promises that are broken."""
    return {one.promise for one in checks.judge(seen).violations}


@pytest.mark.parametrize('promise', BROKEN)
def test_each_check_can_fail(promise):
    assert found(BROKEN[promise]) == {promise}


def test_large_answer_must_be_whole():
    # A part of an answer that was read slowly must not pass for all of it.
    large = LOOKUP._replace(fill=9, body=b'served c-1.........')
    assert not found(scene_of(large))
    assert found(scene_of(large._replace(body=b'served c-1'))) == {'mixed'}


def test_each_check_has_its_violation():
    assert len(BROKEN) == len(checks.CHECKS)
    assert not found(scene_of(LOOKUP))


@pytest.mark.parametrize('promise', ['leaving', 'evacuated', 'not-in-force'])
def test_a_bound_of_time_is_not_judged_after_a_stall(promise):
    seen = BROKEN[promise]
    seen = record.Record(**{**fields_of(seen), **STALL})
    verdict = checks.judge(seen)
    assert not verdict.violations
    assert [one.promise for one in verdict.unjudged] == [promise]


@pytest.mark.parametrize(
    'promise',
    ['leaving', 'evacuated', 'limit', 'not-in-force', 'cut', 'replaced'],
)
def test_bounds_hold_only_for_calm_instances(promise):
    fields = fields_of(BROKEN[promise])
    assert not found(record.Record(**{**fields, 'harmed': [STRUCK]}))


def test_an_evacuation_is_not_judged_if_the_store_was_away_at_its_begin():
    away = record.Span('store', 5, 6)
    fields = fields_of(BROKEN['evacuated'])
    assert not found(record.Record(**{**fields, 'harmed': [away]}))
    later = record.Span('store', 10.1, 10.2)
    harmed = record.Record(**{**fields, 'harmed': [later]})
    assert found(harmed) == {'evacuated'}


def test_a_planned_stop_excuses_no_cut():
    fields = fields_of(BROKEN['cut'])
    assert found(record.Record(**{**fields, 'planned': [STRUCK]})) == {'cut'}


GONE = LOOKUP._replace(status=0, end='cut', signed=False, body=b'')
DONE = RUN._replace(ended_s=10.3, end=record.ANSWERED)
LEFT_OFF = RUN._replace(ended_s=10.5, end=record.DROPPED)
OWN = GONE._replace(status=502, end='answered')
GAVE_UP = GONE._replace(ended_s=12.5, end='gave-up')
STOPPED = {'planned': [record.Span('entry-1', 9.8, 16)]}
LAST = {'planned': [record.Span('entry-1', 7, 14)]}
LONG = GONE._replace(deadline_ms=9000, ended_s=12.1)
LATE_WORK = RUN._replace(ended_s=12.05, end=record.DROPPED)
OTHERS = DONE._replace(request_id='c-2', target='sklad-1')


def harmed(where):
    """Return the field of a record in which a place was harmed."""
    return {'harmed': [record.Span(where, 9, 10)]}


# What is lost, by the sentences of the rule.
LOST = {
    'kept connection': (GONE, DONE, {}),
    'kept, other target harmed': (
        GONE,
        (DONE, OTHERS),
        harmed('target:sklad-1'),
    ),
    'stop, passed on': (GONE, LEFT_OFF, STOPPED),
    'stop, at work': (GONE, RUN, STOPPED),
    'stop, read': (GONE, (), STOPPED),
    'stop, body in parts': (GONE._replace(whole_s=10.25), (), STOPPED),
    'stop, its last second': (
        GONE,
        LEFT_OFF,
        {'planned': [record.Span('entry-1', 3.6, 11)]},
    ),
    'configuration': (GONE, LEFT_OFF, {'published': [(1, 1), (2, 9.8)]}),
    'answered, patience ended': (GAVE_UP, DONE, STOPPED),
    'stop, own answer': (OWN, LEFT_OFF, STOPPED),
    'stop, own answer, work goes on': (OWN, RUN, STOPPED),
    'own answer in calm': (OWN, LEFT_OFF, {}),
    'store harmed, cut': (GONE, LEFT_OFF, harmed('store:entry-1')),
    'store away, cut': (GONE, LEFT_OFF, harmed('store')),
    'store harmed, own answer': (OWN, LEFT_OFF, harmed('store:entry-1')),
    'stop, sent late': (
        LONG,
        LATE_WORK,
        {'planned': [record.Span('entry-1', 6.9, 14)]},
    ),
    'stop, work ended before its last sixth': (
        LONG,
        LATE_WORK._replace(ended_s=11.9),
        LAST,
    ),
}
EXCUSED = {
    'crosses the close': (GONE._replace(ended_s=10.1), (), STOPPED),
    'not sent whole': (GONE._replace(whole_s=checks.NEVER_S), (), STOPPED),
    'just sent whole': (GONE._replace(whole_s=10.4), (), STOPPED),
    'broke off, cut': (GONE, DONE._replace(end=record.BROKE_OFF), STOPPED),
    'broke off, own': (OWN, DONE._replace(end=record.BROKE_OFF), STOPPED),
    'deadline, cut': (GONE._replace(ended_s=11.5), RUN, STOPPED),
    'deadline, own': (OWN._replace(ended_s=11.5), RUN, STOPPED),
    'timeout': (LONG._replace(ended_s=16), RUN, STOPPED),
    'last sixth, cut': (LONG, LATE_WORK, LAST),
    'last sixth, own': (
        OWN._replace(deadline_ms=9000, ended_s=12.1),
        LATE_WORK,
        LAST,
    ),
    'patience ended with the work': (GAVE_UP, RUN, STOPPED),
    'target harmed': (GONE, DONE, harmed('target:burza-1')),
    'callers harmed': (GONE, DONE, harmed('callers:entry-1')),
    'signed failure': (OWN._replace(status=500, signed=True), DONE, STOPPED),
    'own answer after dropped work': (
        OWN,
        RUN._replace(ended_s=10.25, end=record.DROPPED),
        STOPPED,
    ),
}


def planted(call, runs, fields):
    """Return a record with one way to lose an answer."""
    runs = (runs,) if isinstance(runs, record.Run) else runs
    return scene_of(call, runs=runs, **fields)


@pytest.mark.parametrize('way', LOST)
def test_each_way_to_lose_an_answer_is_found(way):
    # A way that the checks miss passes a soak however often it occurs.
    assert found(planted(*LOST[way])) in ({'cut'}, {'replaced'})


@pytest.mark.parametrize('reason', EXCUSED)
def test_what_the_rule_excuses_is_not_found(reason):
    assert not found(planted(*EXCUSED[reason]))


def test_a_stop_that_a_stall_drew_out_is_not_judged():
    fields = {**fields_of(BROKEN['cut']), **STALL}
    assert found(record.Record(**fields)) == {'cut'}
    late = record.Span('entry-1', 4.4, 10.5)
    assert not found(record.Record(**{**fields, 'late_stops': [late]}))


def test_what_comes_while_there_is_no_process_was_not_read():
    cut = LOOKUP._replace(status=0, end='cut')
    assert found(scene_of(cut, runs=())) == {'cut'}
    down = [record.Span('entry-1', 9, 11)]
    assert not found(scene_of(cut, runs=(), down=down))


def test_late_recovery_is_told_from_none():
    calls = [
        LOOKUP._replace(sent_s=at_s, ended_s=at_s) for at_s in range(20, 28)
    ]
    seen = scene_of(*calls, instances=('entry-1',), quiet_from_s=1)
    assert checks.recovered_s(seen, 'entry-1') == 27
    assert found(seen) == {'not-recovered'}
    seen.quiet_from_s = 15
    assert not found(seen)


def fields_of(seen):
    """Return the fields of a record by name."""
    return {name: getattr(seen, name) for name in seen.__slots__}


# Stand-ins


def test_a_watch_that_times_out_skips_no_change():
    answers = []

    async def receive():
        return {'type': 'http.request', 'body': b'', 'more_body': False}

    async def send(message):
        answers.append(message)

    async def scenario():
        held = store.create()
        query = f'prefix=servers/&after={held.revision}&wait_ms=5'
        scope = {'path': '/-/kv-watch', 'query_string': query.encode()}
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(held, scope, receive, send)
            await anyio.sleep(0)
            await anyio.sleep(0)
            # Its end comes before it looks again.
            held.put('servers/burza-1', {})

    anyio.run(scenario)
    told = msgspec.json.decode(answers[-1]['body'])
    assert [item['revision'] for item in told['events']] == [2]
    assert told['at_revision'] == 2


# Runs


def test_failed_seeds_are_kept_and_read_again(tmp_path):
    path = tmp_path / 'failed.txt'
    assert not command.failed_seeds(path)
    command.keep(path, 12, 'abc', 'cut: c-1')
    command.keep(path, 3, 'abc', 'denied: c-2')
    command.keep(path, 12, 'def', 'cut: c-3')
    assert command.failed_seeds(path) == [3, 12]


@pytest.mark.parametrize('seed', SEEDS)
def test_short_soak_breaks_no_promise(seed, tmp_path):
    told = []

    def tell(kind, **fields):
        told.append((kind, fields))

    seen, verdict = command.play(seed, SECONDS, tmp_path, tell)
    assert not verdict.violations, (verdict, told)
    assert any(call.status == checks.SERVED for call in seen.calls)
    assert 'fault' in dict(told)
