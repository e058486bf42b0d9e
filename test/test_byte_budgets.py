"""Budgets of buffered bytes: decisions, without sockets or time."""

import pytest

from oleanderstair.domain import byte_budgets

MB = 1_000_000
SMALLEST = byte_budgets.create_budget(152)
LARGE_BODY = 64 * MB
DOWNLOAD = 90_000
URGENT = 400


def usage(total, holder=0):
    return byte_budgets.Usage(total, holder)


def fits(size, total, holder=0):
    return byte_budgets.may_hold(SMALLEST, usage(total, holder), 0, size)


def test_without_a_limit_of_memory_there_is_no_budget():
    # Deployments that state no memory must be served as before.
    assert byte_budgets.create_budget(0) is None


@pytest.mark.parametrize('memory_mb', [152, 256, 552])
def test_twice_the_budget_and_the_process_fit_into_the_machine(memory_mb):
    # An instance that exceeds the memory of its machine is killed.
    budget = byte_budgets.create_budget(memory_mb)
    held_mb = byte_budgets.COPIES * budget.total_bytes / MB
    assert held_mb + byte_budgets.RESIDENT_MB <= memory_mb


def test_machine_smaller_than_the_process_still_serves_an_answer():
    # A budget of 0 would refuse every call of a wrongly set machine.
    budget = byte_budgets.create_budget(40)
    assert byte_budgets.may_ever_hold(budget, 4 * MB)


def test_many_downloads_leave_room_for_urgent_calls():
    # 36 downloads of 90 KB a second, none of which is read: they fill the
    # budget, and each urgent call of 400 bytes must still fit.
    total = 0
    while fits(DOWNLOAD, total):
        total += DOWNLOAD
    assert fits(URGENT, total)
    urgent_calls = 69 * 10
    assert fits(URGENT, total + urgent_calls * URGENT)


def test_a_body_of_64_mb_is_refused_on_the_smallest_machine():
    # One such body with its copies is more than 152 MB.
    assert not fits(LARGE_BODY, 0)
    assert not byte_budgets.may_ever_hold(SMALLEST, LARGE_BODY)
    assert byte_budgets.may_ever_hold(
        byte_budgets.create_budget(552), LARGE_BODY
    )


def test_holder_is_limited_only_beside_its_own_other_calls():
    # A peer that forwards many large calls must not use all of the budget,
    # but a single body above the share of a holder must be possible.
    share = SMALLEST.holder_bytes
    assert fits(share * 2, 0)
    assert not fits(share, share, holder=share)
    assert fits(share, share)


def test_call_grows_out_of_the_small_ones():
    # A body of unknown length that grows must not use up the reserve.
    total = SMALLEST.total_bytes - SMALLEST.reserve_bytes
    small = byte_budgets.SMALL_BYTES
    assert byte_budgets.may_hold(SMALLEST, usage(total), 0, small)
    assert not byte_budgets.may_hold(SMALLEST, usage(total + small), small, 1)


def test_target_that_holds_nothing_gets_a_body_of_any_size():
    # A target that reads slowly must not hold the memory of the instance,
    # but a large body alone must not be refused for ever.
    assert byte_budgets.may_send(SMALLEST, 0, LARGE_BODY)
    assert byte_budgets.may_send(SMALLEST, SMALLEST.target_bytes, URGENT)
    assert not byte_budgets.may_send(
        SMALLEST, SMALLEST.target_bytes, 10 * DOWNLOAD
    )


def test_reader_that_stopped_first_is_cut_first():
    # The slowest is cut first; one that goes on reading never is.
    readers = [
        byte_budgets.Reader(DOWNLOAD, 1600),
        byte_budgets.Reader(DOWNLOAD, 4000),
        byte_budgets.Reader(2 * DOWNLOAD, 4000),
        byte_budgets.Reader(4 * MB, 1000),
        byte_budgets.Reader(0, 9000),
    ]
    assert byte_budgets.choose_cut(readers) == 2
    assert byte_budgets.choose_cut(readers[3:]) is None


def test_reader_is_not_cut_before_its_deadline():
    # Its answer has run; a call that would take its room can be refused.
    readers = [
        byte_budgets.Reader(2 * DOWNLOAD, 4000, awaited_ms=500),
        byte_budgets.Reader(DOWNLOAD, 1600, awaited_ms=-500),
    ]
    assert byte_budgets.choose_cut(readers) == 1
    assert byte_budgets.choose_cut(readers[:1]) is None


@pytest.mark.parametrize(
    ('released_per_s', 'expected_ms'),
    [
        (0, byte_budgets.MAX_RETRY_MS),
        (MB, 1000),
        (1000, byte_budgets.MAX_RETRY_MS),
        (1000 * MB, byte_budgets.MIN_RETRY_MS),
    ],
)
def test_retry_time_follows_the_rate_of_release(released_per_s, expected_ms):
    # Callers that return too early are refused again; those told to return
    # too late give up.
    limit = SMALLEST.total_bytes - SMALLEST.reserve_bytes
    found_ms = byte_budgets.retry_after_ms(
        SMALLEST, usage(limit), MB, released_per_s
    )
    assert found_ms == expected_ms


def test_a_head_counts_the_objects_of_its_lines():
    # 4,000 lines of 4 bytes took 700 KB and counted nothing.
    assert byte_budgets.head_bytes(16_000, 4000) == 656_000


@pytest.mark.parametrize(
    ('senders', 'size', 'chosen'),
    [
        # Of those that have stopped, the one that holds the most.
        ([(900, 2000), (1000, 2000), (9000, 0)], 40_000, [1]),
        # As many as it takes, but none if that is not enough.
        ([(400, 2000), (300, 2000), (200, 2000)], 40_000, [0, 1, 2]),
        ([(400, 2000), (300, 2000)], 40_000, []),
        # One that goes on sending isn't refused for a large call.
        ([(9_000_000, 100)], 40_000, []),
        # For a small one it is, if it holds much more.
        ([(9_000_000, 100)], 2000, [0]),
        ([(3000, 100)], 2000, []),
        # A connection that holds nothing makes no room.
        ([(0, 9000)], 2000, []),
        ([], 2000, []),
    ],
)
def test_the_client_that_holds_the_most_is_refused(senders, size, chosen):
    measured = [byte_budgets.Sender(*sender) for sender in senders]
    assert byte_budgets.choose_refused(measured, size, 850) == chosen


def test_nobody_is_refused_where_the_total_is_not_exceeded():
    # The share of one client is used up by its own calls then.
    senders = [byte_budgets.Sender(9_000_000, 9000)]
    assert not byte_budgets.choose_refused(senders, 2000, -1)


QUARTER = SMALLEST.unfinished_bytes


def displaced(claim, *held, service='large'):
    answers = [
        byte_budgets.UnfinishedAnswer(held_bytes, service)
        for held_bytes in held
    ]
    answers.append(byte_budgets.UnfinishedAnswer(MB, 'other'))
    return byte_budgets.choose_displaced(SMALLEST, answers, claim)


def claim_of(size, service, *, is_growing=False):
    return byte_budgets.AnswerClaim(size, service, is_growing)


# One service took the room of all others, up to the deadlines of its calls.
def test_the_largest_answer_of_the_largest_service_gives_way():
    ordinary = claim_of(200_000, 'other')
    assert displaced(ordinary, 4 * MB, QUARTER, 3 * MB) == 1


def test_calls_of_about_one_size_do_not_displace_each_other():
    claim = claim_of(QUARTER, 'other')
    assert displaced(claim, QUARTER, QUARTER) is None


def test_answers_give_way_only_where_they_hold_a_quarter():
    # Slow callers fill the memory then, and no target is to blame.
    growing = claim_of(MB, 'large', is_growing=True)
    assert displaced(growing, QUARTER - 2 * MB) is None
    assert displaced(growing, QUARTER) == 0


# Answers without a length waited for each other, and all of them failed.
def test_growing_answer_displaces_the_largest_of_its_own_service():
    growing = claim_of(MB, 'large', is_growing=True)
    assert displaced(growing, QUARTER, 3 * MB, QUARTER + 1) == 2


def test_answer_of_known_length_waits_for_others_of_its_service():
    # They end by themselves, and its own room isn't taken before they do.
    assert displaced(claim_of(MB, 'large'), QUARTER, 3 * MB) is None
