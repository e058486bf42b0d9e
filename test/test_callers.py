"""Calls over loopback sockets to instances configured by release notes."""

import contextlib

import anyio
import msgspec
import pytest

from oleanderstair import settings
from oleanderstair.domain import actions, events, messages, outcomes
from oleanderstair.emulator import fleet, targets
from oleanderstair.engine import node, peers, replies
from test import helper, raw

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntwig'
WITHOUT_SERVICES = fleet.COOPERATIVE._replace(services=())


@contextlib.asynccontextmanager
async def serving_raw(*scripted):
    """Run one instance and a target that sends scripted bytes."""
    with anyio.fail_after(helper.TIMEOUT_S):
        async with (
            raw.running(raw.RawTarget(*scripted)) as target,
            anyio.create_task_group() as tasks,
        ):
            deployment = fleet.create(WITHOUT_SERVICES, tasks)
            note = deployment.first_note()
            note['added']['services'] = [{'name': 'burza', 'region': 'west'}]
            note['added']['targets'] = [
                {
                    'id': 'burza-01',
                    'service': 'burza',
                    'address': target.address,
                    'data_centre': 'trnava',
                    'slots': 4,
                },
            ]
            deployment.platform.publish(note)
            entry = deployment.start_node(
                'entry-1',
                {'confirm_without_peers': True},
            )
            await helper.wait_until(lambda: helper.is_serving(entry))
            yield entry, target
            tasks.cancel_scope.cancel()


def key_of(entry, nonce):
    return f'{entry.identity.incarnation}.1.{nonce}'


def runs_of(deployment, key):
    return sum(
        target.served_by_key.get(key, 0)
        for target in deployment.target_by_id.values()
    )


async def until_peers_known(nodes):
    """Wait until every instance has received a message of every other."""
    await helper.wait_until(
        lambda: all(
            len(entry.runtime.state.instances.peer_by_incarnation)
            >= len(nodes) - 1
            for entry in nodes
        ),
    )


def test_headers_are_rewritten_for_target_and_caller():
    reply = (
        b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-kept: 1\r\n'
        b'connection: x-hop\r\nx-hop: 1\r\ncall-outcome: not-run\r\n\r\ntwig'
    )

    async def scenario():
        async with serving_raw(reply) as (entry, target):
            answer = await helper.send_request(
                entry.identity.caller_address,
                call_deadline_ms='700',
                call_depth='3',
                traceparent='00-1-2-01',
                baggage='member=7',
                connection='x-secret',
                x_secret='1',
                te='trailers',
            )
            lines = target.requests[0].lower().split(b'\r\n')
            assert lines[0] == b'get /listings http/1.1'
            sent_fields = dict(line.split(b': ', 1) for line in lines[1:-2])
            assert sent_fields[b'host'] == b'burza'
            assert sent_fields[b'call-depth'] == b'4'
            assert 0 < int(sent_fields[b'call-deadline-ms']) <= 700
            assert sent_fields[b'traceparent'] == b'00-1-2-01'
            assert sent_fields[b'baggage'] == b'member=7'
            assert not sent_fields.keys() & {
                b'x-secret',
                b'te',
                b'connection',
                b'call-service',
            }
            received_fields = dict(answer.headers)
            assert received_fields[b'x-kept'] == b'1'
            assert b'x-hop' not in received_fields
            assert received_fields[b'call-outcome'] == b'ran'
            assert answer.content == b'twig'

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('method', 'reply', 'status', 'length'),
    [
        ('HEAD', ANSWER[:-4], 200, b'4'),
        ('GET', b'HTTP/1.1 204 None\r\n\r\n', 204, None),
        ('GET', b'HTTP/1.1 304 Same\r\ncontent-length: 9\r\n\r\n', 304, None),
        ('GET', b'HTTP/1.1 102 P\r\n\r\n%b' % ANSWER, 200, b'4'),
    ],
)
def test_answer_without_a_body_keeps_its_framing(method, reply, status, length):
    async def scenario():
        async with serving_raw(reply) as (entry, _):
            answer = await helper.send_request(
                entry.identity.caller_address, method
            )
            assert answer.status == status
            assert dict(answer.headers).get(b'content-length') == length
            assert helper.outcome_of(answer) == 'ran'

    anyio.run(scenario)


@pytest.mark.parametrize(
    'reply',
    [ANSWER[:-1], raw.RESET, b'HTTP/1.1 200 OK\r\n\r\ntwig', b''],
)
def test_lost_answer_of_an_unkeyed_order_is_unknown(reply):
    async def scenario():
        async with serving_raw(reply) as (entry, target):
            answer = await helper.send_request(
                entry.identity.caller_address, 'POST'
            )
            assert answer.status == 502
            assert helper.outcome_of(answer) == 'unknown'
            assert len(target.requests) == 1

    anyio.run(scenario)


BAD_REQUESTS = (
    (['call-deadline-ms: 0'], 400, 'bad-request'),
    (['call-deadline-ms: soon'], 400, 'bad-request'),
    (['call-deadline-ms: 5', 'call-deadline-ms: 5'], 400, 'bad-request'),
    (['call-deadline-ms: 9999999'], 400, 'bad-request'),
    (['call-depth: 28'], 400, 'bad-request'),
    (['call-depth: -1'], 400, 'bad-request'),
    (['idempotency-key: '], 400, 'bad-request'),
    ([f'idempotency-key: {"k" * 300}'], 400, 'bad-request'),
    (['idempotency-key: a', 'idempotency-key: b'], 400, 'bad-request'),
    (['idempotency-key: not-bound'], 400, 'unbound-key'),
    (['call-service: nowhere'], 404, 'no-service'),
    (['content-length: 2000000'], 413, 'too-large'),
    ([f'x-large: {"y" * 20000}'], 413, 'too-large'),
    (['content-length: 5', 'content-length: 6'], 400, 'bad-request'),
)


def test_bad_requests_are_refused_and_never_run():
    async def scenario():
        async with helper.running_fleet(1) as (deployment, nodes):
            address = nodes[0].identity.caller_address
            for lines, status, reason in BAD_REQUESTS:
                head = ['POST /orders HTTP/1.1', 'host: burza', *lines, '', '']
                answer = await ask_raw(address, '\r\n'.join(head).encode())
                assert answer[0] == status, lines
                assert answer[1]['reason'] == reason, lines
                assert answer[1]['outcome'] == 'not-run'
                assert answer[1]['remedy']
            slow = await ask_raw(
                address,
                b'POST / HTTP/1.1\r\nhost: burza\r\ncontent-length: 5\r\n\r\n',
                b'abc',
            )
            assert slow[0] == 408
            assert slow[1]['reason'] == 'too-slow'
            served = [member.served for member in targets_of(deployment)]
            assert not any(served)

    anyio.run(scenario)


def targets_of(deployment):
    return deployment.target_by_id.values()


async def ask_raw(address, *pieces):
    """Return status and JSON body of one answer; do not wait for the close."""
    host, _, port = address.rpartition(':')
    async with await anyio.connect_tcp(host, int(port)) as stream:
        for piece in pieces:
            await stream.send(piece)
        answer = b''
        while not answer.endswith(b'}'):
            answer += await stream.receive()
    head, _, body = answer.partition(b'\r\n\r\n')
    document = msgspec.json.decode(body, type=replies.Refusal)
    return int(head.split()[1]), document


def test_retryable_refusal_has_a_retry_after():
    async def scenario():
        async with helper.running_fleet(1) as (deployment, nodes):
            for target in targets_of(deployment):
                target.leaving = True
            answer = await helper.send_request(
                nodes[0].identity.caller_address,
                call_deadline_ms='300',
            )
            assert answer.status in {503, 504}
            assert helper.outcome_of(answer) == 'not-run'
            assert dict(answer.headers)[b'retry-after'] == b'1'
            document = msgspec.json.decode(answer.content)
            assert document['retry_after_ms'] > 0

    anyio.run(scenario)


def test_keyed_call_runs_once_through_two_instances():
    async def scenario():
        async with helper.running_fleet(2) as (deployment, nodes):
            first, second = nodes
            await until_peers_known(nodes)
            key = key_of(first, 'order-1')
            answers = [
                await helper.send_request(
                    entry.identity.caller_address,
                    'POST',
                    idempotency_key=sent,
                )
                for entry, sent in (
                    (second, key),
                    (first, key),
                    (second, f'"{key}"'),
                )
            ]
            outcome_values = [helper.outcome_of(answer) for answer in answers]
            assert outcome_values == ['ran', 'ran', 'ran']
            assert len({answer.content for answer in answers}) == 1
            assert runs_of(deployment, key) == 1

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('method', 'keyed', 'cancelled'),
    [('GET', False, 1), ('POST', True, 0)],
)
def test_disconnect_of_the_caller_cancels_only_idempotent_calls(
    method,
    keyed,
    cancelled,
):
    async def scenario():
        async with helper.running_fleet(1) as (deployment, nodes):
            entry = nodes[0]
            key = key_of(entry, 'order-2')
            members = targets_of(deployment)
            for target in members:
                target.service_ms = 300
            fields = {'idempotency_key': key} if keyed else {}
            with anyio.move_on_after(0.1):
                await helper.send_request(
                    entry.identity.caller_address,
                    method,
                    call_deadline_ms='2000',
                    **fields,
                )
            await helper.wait_until(
                lambda: (
                    sum(member.served for member in members) == 1
                    and not any(member.in_flight for member in members)
                ),
            )
            cancelled_count = sum(member.cancelled for member in members)
            assert cancelled_count == cancelled
            if keyed:
                again = await helper.send_request(
                    entry.identity.caller_address,
                    method,
                    **fields,
                )
                assert helper.outcome_of(again) == 'ran'
                assert runs_of(deployment, key) == 1

    anyio.run(scenario)


def test_late_and_malformed_events_do_not_stop_the_instance():
    async def scenario():
        async with helper.running_fleet(1) as (_, nodes):
            runtime = nodes[0].runtime
            runtime.handle(
                events.AttemptEnded(77, 78, events.Verdict.ANSWERED),
            )
            runtime.report_caller_left(77)
            for action in (
                actions.Relay(77, 78),
                actions.RelayRecorded(77, 79),
                actions.RelayHome(77),
                actions.CancelAttempt(77, 78),
                actions.DropRecorded(77),
                actions.Refuse(
                    77,
                    outcomes.Outcome.NOT_RUN,
                    outcomes.Reason.OVERLOADED,
                ),
                actions.ForwardHome(77, 'entry-9~1', '127.0.0.1:1', 100),
                actions.Dispatch(77, 78, 'burza-01', 'no address', True, 9, 9),
            ):
                runtime._perform(action)
            for outcome, reason in (('ran', ''), ('odd', ''), ('ran', 'odd')):
                answered = messages.KeyedAnswer(
                    77, 'entry-9~1', outcome, reason, 0
                )
                runtime._forwarded_calls.receive_message(
                    peers.ReceivedMessage('entry-9~1', answered)
                )
            answer = await helper.send_request(nodes[0].identity.caller_address)
            assert helper.outcome_of(answer) == 'ran'
            counted = runtime.metrics.count_by_series
            assert counted[('faults', 'Relay')] == 1
            assert counted[('late-replies', '')] == 1
            assert counted[('peer-dropped', 'keyed-answer')] == 3

    anyio.run(scenario)


@pytest.mark.parametrize(
    'behaviour',
    [
        targets.Behaviour.CRASH,
        targets.Behaviour.CUT_SHORT,
        targets.Behaviour.SILENT,
    ],
)
def test_unkeyed_order_at_a_failing_target_is_unknown(behaviour):
    async def scenario():
        async with helper.running_fleet(1) as (deployment, nodes):
            for target in targets_of(deployment):
                target.behaviour = behaviour
            answer = await helper.send_request(
                nodes[0].identity.caller_address,
                'POST',
                call_deadline_ms='300',
            )
            assert helper.outcome_of(answer) == 'unknown'
            served = [member.served for member in targets_of(deployment)]
            assert sum(served) == 1

    anyio.run(scenario)


# Bodies, heads and answers had limits for each connection only, so that many
# of them took an instance over its memory.
@pytest.mark.parametrize(
    ('framing', 'body'),
    [
        (b'content-length: 9000000\r\n\r\n', b''),
        (
            b'transfer-encoding: chunked\r\n\r\n7fffff\r\n',
            b'x' * 8_000_000,
        ),
        (b'a:\r\n' * 60_000, b''),
    ],
)
def test_request_that_does_not_fit_into_the_memory_is_refused(framing, body):
    async def scenario():
        async with helper.running_fleet(1) as (deployment, _):
            tree = deployment.node_settings('entry-2', 'trnava')
            tree['instance']['capacity'] = {'memory_mb': 65}
            tree['callers']['max_body_bytes'] = 64_000_000
            tree['callers']['max_header_bytes'] = 1_000_000
            tree['policy'] = {'confirm_without_peers': True}
            entry = node.create(settings.build(tree))
            deployment.tasks.start_soon(entry.run)
            await helper.wait_until(lambda: helper.is_serving(entry))
            address = entry.identity.caller_address
            answer = await raw.send_and_receive(
                address,
                b'POST /orders HTTP/1.1\r\nhost: burza\r\n',
                framing,
                body,
            )
            head = answer.partition(b'\r\n\r\n')[0]
            assert head.startswith(b'HTTP/1.1 503')
            assert b'call-outcome: not-run' in head
            assert b'retry-after: ' in head
            assert b'connection: close' in head
            ordinary = await helper.send_request(address)
            assert ordinary.status == 200

    anyio.run(scenario)
