"""Limits of connections by descriptors and memory, and which one gives way."""

import pytest

from oleanderstair.domain import byte_budgets, connection_budgets

CONFIGURED = 2000


def limits_of(descriptors, memory_mb=0, configured=CONFIGURED):
    return connection_budgets.create_limits(
        descriptors, byte_budgets.create_budget(memory_mb), configured
    )


def open_at_most(limits):
    """Return how many connections there are with those being refused."""
    return sum(
        max(
            count
            for count in range(1, 3 * CONFIGURED)
            if connection_budgets.may_be_refused(limit, count)
        )
        for limit in limits
    )


@pytest.mark.parametrize('descriptors', [64, 256, 1535, 3075, 8192])
def test_clients_leave_descriptors_for_targets_and_peers(descriptors):
    # The 2,000 connections of callers used up the descriptors of a machine
    # that has 1,535, and no target could be reached.
    reserved = min(connection_budgets.RESERVED_DESCRIPTORS, descriptors // 2)
    limits = limits_of(descriptors)
    assert open_at_most(limits) <= descriptors - reserved


@pytest.mark.parametrize('memory_mb', [80, 152, 552])
def test_connections_take_a_quarter_of_the_budget(memory_mb):
    budget = byte_budgets.create_budget(memory_mb)
    taken_bytes = (
        open_at_most(limits_of(0, memory_mb))
        * connection_budgets.CONNECTION_BYTES
    )
    assert taken_bytes <= budget.total_bytes // 4


def test_settings_are_not_exceeded_and_nobody_is_shut_out():
    assert limits_of(100_000, configured=3).callers == 3
    assert min(limits_of(2)) == 1
    assert limits_of(0).callers == CONFIGURED


@pytest.mark.parametrize(
    ('waiting', 'chosen'),
    [
        # An unfinished request gives way before an idle connection.
        ([(5000, False), (1500, True), (2000, True)], 2),
        ([(5000, False), (1500, False)], 0),
        # A client has a second to send its request.
        ([(999, True), (0, False)], None),
        ([], None),
    ],
)
def test_connection_that_waits_longest_gives_way(waiting, chosen):
    measured = [connection_budgets.Waiting(*found) for found in waiting]
    assert connection_budgets.choose_replaced(measured) == chosen
