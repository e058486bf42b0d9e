"""Whatever comes from outside: nothing falls over, nothing is mixed up."""

import base64
import json

import anyio
import httpcore
import hypothesis
import msgspec
import result
from hypothesis import strategies

from oleanderstair.domain import events, outcomes
from oleanderstair.domain.fleet import codec
from oleanderstair.emulator import load_targets, store
from oleanderstair.engine import headers
from oleanderstair.platform import documents
from test import loopback_node, test_gateway_fleet

FIXED = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
FEW = hypothesis.settings(FIXED, max_examples=6)

PLAIN = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**70), 2**70),
    strategies.floats(),
    strategies.text(max_size=8),
)
LARGE = strategies.sampled_from((10**400, 2**63, 2**64, 1e308, -1))
JSON = strategies.recursive(
    PLAIN,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(strategies.text(max_size=6), inner, max_size=3),
    ),
    max_leaves=8,
)


def damaged(document: dict[str, object]) -> strategies.SearchStrategy[bytes]:
    """Return encoded documents with one field lost, changed or torn off.

    A changed field may be unknown, or nested deeper than a decoder follows.
    """
    name = strategies.sampled_from([*sorted(document), 'unknown'])
    changed = strategies.builds(
        lambda field, found: json.dumps({**document, field: found}).encode(),
        name,
        strategies.one_of(LARGE, JSON),
    )
    nested = strategies.builds(
        lambda field, depth: (
            json.dumps({**document, field: '@'})
            .replace('"@"', '[' * depth + ']' * depth)
            .encode()
        ),
        strategies.one_of(strategies.just('unknown'), name),
        strategies.sampled_from((1, 500, 1500, 5000)),
    )
    whole = msgspec.json.encode(document)
    lost = strategies.sampled_from(sorted(document)).map(
        lambda field: msgspec.json.encode(
            {key: held for key, held in document.items() if key != field},
        ),
    )
    torn = strategies.integers(0, len(whole)).map(lambda end: whole[:end])
    return strategies.one_of(changed, nested, lost, torn, strategies.binary())


def item_of(key: str, body: bytes) -> documents.Item:
    return documents.Item(key, 7, base64.b64encode(body).decode())


@FIXED
@hypothesis.given(damaged(loopback_node.registration_of('127.0.0.1:1')))
def test_an_entry_is_read_or_refused(body: bytes) -> None:
    read = documents.read_target(item_of('servers/i-1', body), 0)
    assert isinstance(read, result.Ok | result.Err)
    if isinstance(read, result.Ok):
        fleet = test_gateway_fleet.make_fleet()
        told = events.RegistryChanged(10_000, (read.ok_value,), ())
        fleet.step('entry-0', told)
        call_id = fleet.call('entry-0', 'lookup')
        fleet.run_for(2000)
        assert call_id in fleet.told_by_call


@FIXED
@hypothesis.given(damaged(loopback_node.configuration(3)))
def test_a_configuration_is_read_or_refused(body: bytes) -> None:
    read = documents.read_configuration(item_of('op/config', body))
    assert isinstance(read, result.Ok | result.Err)
    if isinstance(read, result.Ok):
        fleet = test_gateway_fleet.make_fleet()
        fleet.step('entry-0', events.RoutingRead(read.ok_value, 'store'))
        call_id = fleet.call('entry-0', 'lookup')
        fleet.run_for(2000)
        assert call_id in fleet.told_by_call


@FIXED
@hypothesis.given(strategies.text(max_size=40))
def test_a_value_that_is_no_base64_is_refused(text: str) -> None:
    item = documents.Item('servers/i-1', 7, text)
    assert isinstance(documents.read_target(item, 0), result.Err)


@FIXED
@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=60),
        JSON.map(lambda found: b'\x01%b' % _packed(found)),
        strategies.tuples(
            strategies.sampled_from(('hb', 'pu', 'fa', 'fd', 'nh', 'nb')),
            JSON,
        ).map(lambda found: b'\x01%b' % _packed(found)),
    ),
)
def test_a_peers_message_is_read_or_refused(frame: bytes) -> None:
    read = codec.decode(frame)
    if isinstance(read, result.Ok):
        fleet = test_gateway_fleet.make_fleet()
        fleet.step('entry-0', events.PeerHeard('x~1', read.ok_value))
        call_id = fleet.call('entry-0', 'lookup')
        fleet.run_for(2000)
        told = fleet.told_by_call[call_id]
        assert told.outcome is outcomes.Outcome.RAN


def _packed(found: object) -> bytes:
    try:
        return msgspec.msgpack.encode(found)
    except (OverflowError, UnicodeEncodeError):
        return b''


HEADS = strategies.sampled_from(
    [
        b'GET /lookup/a HTTP/1.1',
        b'POST /order/a HTTP/1.1',
        b'GET /lookup/a HTTP/9.9',
        b'OPTIONS * HTTP/1.1',
        b'\x00\x01\x02',
        b'',
    ],
)
FIELDS = strategies.sampled_from(
    [
        b'Host: calls.example',
        b'Host: calls.example\r\nHost: other.example',
        b'Request-Id: fuzz',
        b'Request-Id: %b' % (b'x' * 3000),
        b'Deadline-Ms: 500',
        b'Deadline-Ms: -1',
        b'Deadline-Ms: 1e9',
        b'Content-Length: 4',
        b'Content-Length: 4\r\nContent-Length: 5',
        b'Content-Length: 99999999999',
        b'Transfer-Encoding: chunked',
        b'Transfer-Encoding: chunked\r\nContent-Length: 3',
        b'Target-Instance: i-9',
        b'Connection: Request-Id',
        b'Expect: 100-continue',
        b'X: a\x00b',
        b'X : spaced',
        b' folded',
    ],
)
TAILS = strategies.sampled_from(
    [
        b'',
        b'body',
        b'4\r\nbody\r\n0\r\n\r\n',
        b'zz\r\nbody',
        b'0\r\n\r\nGET /lookup/smuggled HTTP/1.1\r\nRequest-Id: s\r\n\r\n',
    ],
)


@strategies.composite
def requests(draw: strategies.DrawFn) -> bytes:
    """Draw the bytes that a caller sends on one connection."""
    fields = draw(strategies.lists(FIELDS, max_size=5))
    head = b'\r\n'.join([draw(HEADS), *fields])
    return b'\r\n\r\n'.join([head, draw(TAILS)])


@FEW
@hypothesis.given(strategies.lists(requests(), min_size=20, max_size=20))
def test_callers_can_send_anything(sent: list[bytes]) -> None:
    anyio.run(_send_all, sent)


async def _send_all(sent: list[bytes]) -> None:
    async with loopback_node.run_ready_node() as side:
        host, _, port = side.address.rpartition(':')
        for raw in sent:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(raw)
                with anyio.move_on_after(0.05):
                    await stream.receive()
        served = await loopback_node.send_request(
            side.address, request_id='after'
        )
        assert served.content == b'served after'
        ran = [
            found
            for target in side.target_by_id.values()
            for found in target.ran
        ]
        assert {found.target for found in ran} <= {
            '/lookup/a',
            '/order/a',
            loopback_node.LOOKUP_PATH,
        }


ANSWERS = strategies.one_of(
    strategies.binary(min_size=1, max_size=200),
    strategies.tuples(
        strategies.sampled_from(
            [b'HTTP/1.1 200 OK', b'HTTP/1.1 999 X', b'HTTP/1.0 200 OK', b'X'],
        ),
        strategies.lists(
            strategies.sampled_from(
                [
                    b'Content-Length: 5',
                    b'Content-Length: -5',
                    b'Content-Length: 5\r\nContent-Length: 6',
                    b'Transfer-Encoding: chunked',
                    b'Request-Id: another',
                    b'Server-Load: a,b,c',
                    b'Server-Load: 1,2',
                    b'Server-Load: 9999999999999999999999,0,0,0',
                    b'Keep-Alive: timeout=-4',
                    b'Not-Executed: 1',
                    b'X: \x01',
                ],
            ),
            max_size=4,
        ),
        strategies.binary(max_size=30),
    ).map(
        lambda parts: b'\r\n'.join([parts[0], *parts[1], b'', parts[2]]),
    ),
)


@FEW
@hypothesis.given(strategies.lists(ANSWERS, min_size=10, max_size=10))
def test_targets_can_answer_anything(answers: list[bytes]) -> None:
    anyio.run(_answer_all, answers)


async def _answer_all(answers: list[bytes]) -> None:
    async with loopback_node.run_ready_node() as side:
        for number, raw in enumerate(answers):
            for target in side.target_by_id.values():
                target.raw = raw
                target.behaviour = load_targets.Behaviour.GARBLED
            answer = await _ask_order(side, f'garbled-{number}')
            assert answer.status in {502, 503, 504}, raw
            assert b'another' not in answer.content
            await _expect_served(side, f'sound-{number}')


async def _ask_order(
    side: loopback_node.NodeFixture,
    request_id: str,
) -> httpcore.Response:
    return await loopback_node.send_request(
        side.address,
        loopback_node.ORDER_PATH,
        'POST',
        request_id=request_id,
        deadline_ms='300',
    )


async def _expect_served(
    side: loopback_node.NodeFixture, request_id: str
) -> None:
    for target in side.target_by_id.values():
        target.behaviour = load_targets.Behaviour.SERVE
    # What was said before may keep a target out for a while.
    for _ in range(100):
        answer = await loopback_node.send_request(
            side.address, request_id=request_id
        )
        fields = headers.index_fields(answer.headers).field_by_name
        if answer.status == 200:
            assert answer.content == f'served {request_id}'.encode()
            assert fields[b'request-id'] == request_id.encode()
            return
        await anyio.sleep(0.05)
    raise AssertionError('no target serves again')


def test_an_answer_to_another_request_reaches_nobody() -> None:
    async def scene() -> None:
        async with loopback_node.run_ready_node() as side:
            for number, behaviour in enumerate(
                (
                    load_targets.Behaviour.OTHER_REQUEST,
                    load_targets.Behaviour.CUT_SHORT,
                    load_targets.Behaviour.CRASH,
                    load_targets.Behaviour.EXTRA_ANSWER,
                )
            ):
                for target in side.target_by_id.values():
                    target.behaviour = behaviour
                answer = await _ask_order(side, f'asked-{number}')
                assert b'another' not in answer.content
                assert b'extra' not in answer.content
                await _expect_served(side, f'after-{number}')

    anyio.run(scene)


def test_a_store_that_tells_nonsense_changes_nothing() -> None:
    async def scene() -> None:
        async with loopback_node.run_ready_node() as side:
            carrier = side.node.runtime
            assert carrier is not None
            side.store.put('servers/forged', b'\xff{')
            side.store.put('servers/other', {'service': 5})
            side.store.put('op/config', b'{"number": "high"}')
            await anyio.sleep(0.5)
            side.store.fault = store.Fault.GARBLED
            side.store.forget_history()
            await anyio.sleep(0.5)
            assert set(carrier.state.registry.entry_by_id) == {'i-0', 'i-1'}
            in_force = carrier.state.routes.in_force
            assert in_force is not None
            assert in_force.number == 1
            await _expect_served(side, 'after')

    anyio.run(scene)
