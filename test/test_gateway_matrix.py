"""Each fault at each step of a gateway's work, on the virtual clock."""

import itertools
import random

import pytest

from test import gateway_faults, gateway_matrix

NAMES = sorted(gateway_faults.FAULT_BY_NAME)
LATER_NAMES = ('store-restored', 'target-limited')


def draw_pairs(names, needed, count):
    """Draw pairs of faults at steps, one of them among the needed ones."""
    pairs = [
        (step, *pair)
        for step in gateway_matrix.STEP_BY_NAME
        for pair in itertools.combinations(names, 2)
        if set(pair) & set(needed)
    ]
    return random.Random(1).sample(pairs, count)


EARLIER_NAMES = [name for name in NAMES if name not in LATER_NAMES]
PAIRS = [
    *draw_pairs(EARLIER_NAMES, EARLIER_NAMES, 40),
    *draw_pairs(NAMES, LATER_NAMES, 40),
]


@pytest.mark.parametrize('fault', NAMES)
@pytest.mark.parametrize('step', gateway_matrix.STEP_BY_NAME)
def test_a_fault_at_a_step(step: str, fault: str) -> None:
    gateway_matrix.run(step, fault)


@pytest.mark.parametrize(('step', 'first', 'second'), PAIRS)
def test_two_faults_at_a_step(step: str, first: str, second: str) -> None:
    gateway_matrix.run(step, first, second, seed=2)
