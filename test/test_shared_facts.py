"""Facts merge in any order, reach all instances, and respect the byte rate."""

import hypothesis
from hypothesis import strategies

from oleanderstair.domain import actions, events, messages
from oleanderstair.domain.fleet import bandwidth, codec, shared_facts
from test import helper

BOUNDED = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=80,
)
SMALL = strategies.integers(min_value=0, max_value=3)
FACTS = strategies.builds(
    lambda target, origin, sequence: messages.Fact(
        f'load/burza-{target}',
        f'entry-{origin}~1',
        sequence,
        0,
        # An origin publishes only one body for each sequence.
        messages.TargetLoad(f'burza-{target}', sequence),
    ),
    SMALL,
    strategies.integers(min_value=2, max_value=4),
    SMALL,
)


def adopt(state, facts):
    heard = events.PeerHeard('entry-2~1', messages.Facts(tuple(facts)))
    return shared_facts.on_peer(state, heard, 0)


@BOUNDED
@hypothesis.given(strategies.lists(FACTS), strategies.randoms())
def test_merge_is_commutative_and_idempotent(facts, rng):
    shuffled = facts + facts
    rng.shuffle(shuffled)
    in_order, shuffled_order = helper.make_world(), helper.make_world()
    adopt(in_order, facts)
    for fact in shuffled:
        adopt(shuffled_order, [fact])
    assert in_order.facts.fact_by_key == shuffled_order.facts.fact_by_key
    assert not adopt(in_order, shuffled)


@BOUNDED
@hypothesis.given(strategies.lists(FACTS))
def test_facts_are_unchanged_by_encoding_and_decoding(facts):
    message = messages.Facts(tuple(sorted(facts, key=lambda fact: fact.origin)))
    decoded = codec.decode(codec.encode(message)).ok_value
    assert sorted(decoded.facts) == sorted(message.facts)


@BOUNDED
@hypothesis.given(strategies.binary(max_size=60))
def test_malformed_frame_is_an_error(random_bytes):
    codec.decode(random_bytes)
    codec.decode(b''.join((b'\x01', random_bytes)))
    cut = codec.encode(messages.NoteHead(1, 'digest', confirmed=True))
    assert codec.decode(cut[: len(random_bytes) % len(cut)]).is_err()


def test_fact_reaches_all_despite_loss_and_duplication():
    made = helper.make_harness(count=9)
    lossy = made.rng

    def lose_half(sender, receiver, message):
        if lossy.randrange(2):
            return ()
        return (1, 40)

    made.link_rule = lose_half
    body = messages.TargetLeaving('burza-1', '1')
    state = made.instance_by_id['entry-1'].state
    shared_facts.publish_fact(
        state, 'leaving/burza-1', body, made.clock.now_ms()
    )
    made.run_for(20_000)
    key = ('leaving/burza-1', state.identity.incarnation)
    holders = [
        instance_id
        for instance_id, instance in made.instance_by_id.items()
        if key in instance.state.facts.fact_by_key
    ]
    assert len(holders) == 9


def test_byte_rate_holds_under_a_flood_and_urgent_facts_go_first():
    made = helper.make_harness(count=6, peer_bytes_per_s=3000)
    state = made.instance_by_id['entry-1'].state

    def flood():
        now_ms = made.clock.now_ms()
        for number in range(400):
            load = messages.TargetLoad(f'burza-{number}', 1)
            shared_facts.publish_fact(
                state, f'load/burza-{number}', load, now_ms
            )

    for second in range(10):
        made.after(second * 1000, flood)
    made.after(
        5000,
        lambda: shared_facts.publish_fact(
            state,
            'leaving/burza-1',
            messages.TargetLeaving('burza-1', '1'),
            made.clock.now_ms(),
        ),
    )
    started_ms = made.clock.now_ms()
    made.run_for(10_000)
    log = made.instance_by_id['entry-1'].action_log
    sent = [
        (at_ms - started_ms, action.message)
        for at_ms, action in log
        if isinstance(action, actions.SendPeer) and at_ms >= started_ms
    ]
    total = sum(bandwidth.message_bytes(message) for _, message in sent)
    burst = bandwidth.BURST_MS / 1000
    assert 3000 * 5 < total <= 3000 * (10 + burst)
    urgent_at_ms = min(
        at_ms
        for at_ms, message in sent
        if isinstance(message, messages.Facts)
        and any(fact.subject == 'leaving/burza-1' for fact in message.facts)
    )
    assert urgent_at_ms <= 5200


def test_facts_of_dead_instances_expire_and_are_not_stored_again():
    state = helper.make_world()
    fact = messages.Fact(
        'leaving/burza-1',
        'entry-9~1',
        1,
        0,
        messages.TargetLeaving('burza-1', '1'),
    )
    assert adopt(state, [fact])
    shared_facts.on_tick(
        state, events.Tick(), shared_facts.DEAD_ORIGIN_KEPT_MS + 1
    )
    assert not state.facts.fact_by_key
    assert not adopt(
        state, [fact._replace(age_ms=shared_facts.DEAD_ORIGIN_KEPT_MS + 1)]
    )
