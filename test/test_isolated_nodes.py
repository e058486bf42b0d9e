"""Nodes on loopback: a call is forwarded to a peer and answered from there."""

import contextlib
import math
import socket

import anyio

from oleanderstair.domain import actions, events, messages
from oleanderstair.explaining import sinks, stories
from test import helper, loopback_node


def free_address():
    with socket.socket() as bound:
        bound.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{bound.getsockname()[1]}'


def peer_settings(store_address, number, peers_address, seeds):
    tree = loopback_node.settings_tree(store_address)
    tree['instance']['id'] = f'entry-{number}'
    tree['peers'] = {
        'address': peers_address,
        'allow_plain': True,
        'seeds': seeds,
    }
    return tree


def knows_ready_peer(node):
    rows = node.runtime.state.members.member_by_incarnation.values()
    return any(row.standing.name == 'READY' for row in rows)


@contextlib.asynccontextmanager
async def run_pair():
    """Run two nodes that know each other; the first reaches no target."""
    addresses = [free_address(), free_address()]
    async with loopback_node.run_ready_node() as fixture:
        trees = [
            peer_settings(fixture.store_address, number, address, addresses)
            for number, address in enumerate(addresses, start=2)
        ]
        async with loopback_node.run_node(trees[0]) as isolated:
            async with loopback_node.run_node(trees[1]) as peer:
                await helper.wait_until(
                    lambda: (
                        knows_ready_peer(isolated) and knows_ready_peer(peer)
                    )
                )
                reachability = isolated.runtime.state.reachability
                reachability.isolated_since_ms = 0
                reachability.probe_due_ms = math.inf
                yield fixture, isolated, peer


def observed(node, kind):
    """Return a list that gets the events or actions of a kind at a node."""
    found = []
    step = node.runtime._step

    def observe(state, event, now_ms):
        done = step(state, event, now_ms)
        found.extend(part for part in (event, *done) if isinstance(part, kind))
        return done

    node.runtime._step = observe
    return found


# Guards against calls that fail beside peers which could serve them.
def test_call_at_an_isolated_node_is_answered_by_way_of_a_peer():
    async def scene():
        async with run_pair() as (fixture, isolated, peer):
            received = observed(peer, events.CallReceived)
            answer = await loopback_node.send_request(
                isolated.identity.caller_address,
                loopback_node.ORDER_PATH,
                'POST',
                b'two rolls',
            )
            assert answer.status == 200
            ran = fixture.single_run()
            assert ran.body == b'two rolls'
            assert received[0].from_peer == isolated.identity.incarnation
            assert received[0].request_id == 'request-1'
            assert 0 < received[0].deadline_ms

    anyio.run(scene)


# Guards against a loop between instances that reach no target.
def test_call_is_not_forwarded_twice():
    async def scene():
        async with run_pair() as (_, isolated, peer):
            forwards = observed(peer, actions.ForwardHome)
            table = peer.runtime.state.reachability
            table.isolated_since_ms = 0
            table.probe_due_ms = math.inf
            await loopback_node.send_request(isolated.identity.caller_address)
            assert not forwards

    anyio.run(scene)


# Guards against a second run by a copy of a forwarded call, and an old answer.
def test_copies_of_messages_between_nodes_change_nothing():
    async def scene():
        async with run_pair() as (fixture, isolated, peer):
            link = isolated.runtime._dependencies.link
            send = link.send
            copies = []

            def send_twice(address, message, incarnation=''):
                if isinstance(message, messages.KeyedCall):
                    copies.append(message)
                    send(address, message, incarnation)
                return send(address, message, incarnation)

            link.send = send_twice
            answer = await loopback_node.send_request(
                isolated.identity.caller_address,
                loopback_node.ORDER_PATH,
                'POST',
                b'one roll',
            )
            send(peer.identity.peer_address, copies[0])
            await anyio.sleep(0.2)
            assert answer.status == 200
            assert fixture.single_run().body == b'one roll'

    anyio.run(scene)


# Guards against a call that waits until its timeout for a peer that is gone.
def test_call_for_a_peer_that_is_gone_ends_before_its_timeout():
    async def scene():
        async with run_pair() as (fixture, isolated, _):
            link = isolated.runtime._dependencies.link
            send = link.send
            gone = free_address()

            def send_to_gone(address, message, incarnation=''):
                return send(gone, message, incarnation)

            link.send = send_to_gone
            answer = await loopback_node.send_request(
                isolated.identity.caller_address,
                loopback_node.ORDER_PATH,
                'POST',
                deadline_ms='5000',
            )
            assert answer.status == 503
            assert not any(
                target.ran for target in fixture.target_by_id.values()
            )

    anyio.run(scene)


# Guards against an answer that is lost as the connection for it opens late.
def test_answer_by_way_of_a_peer_waits_for_its_connection():
    async def scene():
        async with run_pair() as (fixture, isolated, peer):
            link = peer.link
            open_socket = link._open_socket
            until_s = anyio.current_time() + 0.5

            def open_late(address):
                is_late = anyio.current_time() >= until_s
                return open_socket(address if is_late else free_address())

            link._open_socket = open_late
            link._connection_by_address.clear()
            answer = await loopback_node.send_request(
                isolated.identity.caller_address,
                loopback_node.ORDER_PATH,
                'POST',
                deadline_ms='5000',
            )
            assert answer.status == 200
            assert fixture.single_run()

    anyio.run(scene)


def lose_store_states(node):
    """Let a node lose the states of the store that peers send it."""
    step = node.runtime._step

    def lose(state, event, now_ms):
        is_heard = isinstance(event, events.PeerHeard)
        if is_heard and isinstance(event.message, messages.StoreState):
            return []
        return step(state, event, now_ms)

    node.runtime._step = lose


# Guards against a call that an older configuration of the peer handles.
def test_call_is_not_run_under_an_older_configuration():
    async def scene():
        async with run_pair() as (fixture, isolated, peer):
            # Else the peer would adopt the newer one before a delayed call.
            lose_store_states(peer)
            in_force = isolated.runtime.state.routes.in_force
            isolated.runtime.state.routes.in_force = in_force._replace(
                number=in_force.number + 1
            )
            peer.runtime.state.routes.in_force = in_force._replace(
                routes_by_host={}
            )
            replies = observed(isolated, events.HomeReplied)
            await loopback_node.send_request(isolated.identity.caller_address)
            assert replies[0].reason.value == 'unconfirmed'

    anyio.run(scene)


# Guards against a forwarded call of which the log tells only one half.
def test_both_hops_of_a_forwarded_call_are_explained():
    async def scene():
        async with run_pair() as (_, isolated, peer):
            sink = sinks.ListSink()
            for node in (isolated, peer):
                node.runtime.decisions._sink = sink
            await loopback_node.send_request(isolated.identity.caller_address)
            await helper.wait_until(
                lambda: any('answered-by-peer' in line for line in sink.lines)
            )
            story = stories.follow(
                'request-1', stories.read('entry', sink.lines)
            )
            kinds = {line.kind for line in story.decisions}
            assert kinds >= {'forwarded', 'sent', 'answered', 'peer-replied'}
            assert f'by way of {peer.identity.incarnation}' in story.cause

    anyio.run(scene)
