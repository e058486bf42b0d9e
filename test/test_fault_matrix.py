"""Every fault at every step of a call and of a note, by stated outcomes.

``matrix.REASON_BY_IMPOSSIBLE_CELL`` lists the cells that cannot occur.
"""

import hypothesis
import pytest
from hypothesis import strategies

from test import faults, matrix

FAULTS = sorted(faults.FAULT_BY_NAME)
EXAMPLES = 40
# A failing pair is small already; shrinking it would take minutes.
PHASES = (hypothesis.Phase.explicit, hypothesis.Phase.generate)


def possible(steps):
    """Return the cells of ``steps`` that can occur."""
    return [
        (step, fault)
        for step in steps
        for fault in FAULTS
        if (step, fault) not in matrix.REASON_BY_IMPOSSIBLE_CELL
    ]


@pytest.mark.parametrize(
    ('step', 'fault'),
    possible(matrix.CALL_STEP_BY_NAME),
)
def test_fault_at_call_step(step, fault):
    matrix.COUNTS.ran += 1
    matrix.judge(matrix.run_call_cell(step, fault))


@pytest.mark.parametrize(
    ('step', 'fault'),
    possible(matrix.NOTE_STEP_BY_NAME),
)
def test_fault_at_note_step(step, fault):
    matrix.COUNTS.ran += 1
    matrix.judge(matrix.run_note_cell(step, fault))


@hypothesis.given(
    step=strategies.sampled_from(sorted(matrix.CALL_STEP_BY_NAME)),
    order=strategies.permutations(FAULTS),
    seed=strategies.integers(1, 1000),
)
@hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=EXAMPLES,
    phases=PHASES,
)
def test_two_faults_in_any_order_at_call_step(step, order, seed):
    matrix.COUNTS.pairs += 1
    matrix.judge(matrix.run_call_cell(step, *order[:2], seed=seed))


@hypothesis.given(
    step=strategies.sampled_from(sorted(matrix.NOTE_STEP_BY_NAME)),
    order=strategies.permutations(FAULTS),
    seed=strategies.integers(1, 1000),
)
@hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=EXAMPLES,
    phases=PHASES,
)
def test_two_faults_in_any_order_at_note_step(step, order, seed):
    matrix.COUNTS.pairs += 1
    matrix.judge(matrix.run_note_cell(step, *order[:2], seed=seed))
