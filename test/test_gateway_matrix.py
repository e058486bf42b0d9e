"""Each fault at each step of a gateway's work, on the virtual clock."""

import itertools
import random

import pytest

from test import gateway_faults, gateway_matrix

NAMES = sorted(gateway_faults.FAULT_BY_NAME)
PAIRS = random.Random(1).sample(
    [
        (step, *pair)
        for step in gateway_matrix.STEP_BY_NAME
        for pair in itertools.combinations(NAMES, 2)
    ],
    40,
)


@pytest.mark.parametrize('fault', NAMES)
@pytest.mark.parametrize('step', gateway_matrix.STEP_BY_NAME)
def test_a_fault_at_a_step(step: str, fault: str) -> None:
    gateway_matrix.run(step, fault)


@pytest.mark.parametrize(('step', 'first', 'second'), PAIRS)
def test_two_faults_at_a_step(step: str, first: str, second: str) -> None:
    gateway_matrix.run(step, first, second, seed=2)
