"""The figures of docs/CAPACITY.md, and the table that they are shown in."""

import sys
import typing


class Figure(typing.NamedTuple):
    """One measured figure."""

    what: str
    size: str
    amount: float
    unit: str


Measure: typing.TypeAlias = typing.Callable[[], typing.Iterator[Figure]]
"""Return figures, one after the other."""


def show(measures: typing.Iterable[Measure]) -> None:
    """Print every figure as a row of a table, each as it is measured."""
    sys.stdout.write('| what | size | figure |\n|---|---|---|\n')
    for measure in measures:
        for found in measure():
            amount = f'{found.amount:,.1f} {found.unit}'
            sys.stdout.write(f'| {found.what} | {found.size} | {amount} |\n')
            sys.stdout.flush()
