"""Typed problems whose messages name the remedy."""

import enum
import typing


class ProblemKind(enum.Enum):
    """What sort of input a problem was found in."""

    SETTINGS = 'settings'
    NOTE = 'note'
    VALUE = 'configuration value'
    USAGE = 'usage'
    CONNECTION = 'connection'
    TRACE = 'trace'


class Problem(typing.NamedTuple):
    """One fault in something a user or the platform supplied."""

    kind: ProblemKind
    where: str
    what: str
    remedy: str

    @property
    def message(self) -> str:
        """Return the problem and its remedy on one line."""
        return f'{self.kind.value}: {self.where}: {self.what}; {self.remedy}'


class UserError(Exception):
    """An error the user can mend; printed without a traceback."""

    def __init__(self, problem: Problem) -> None:
        """Wrap ``problem``, whose message is what the user reads."""
        super().__init__(problem.message)
        self.problem = problem
