"""Problems with user input, whose messages name a remedy."""

import enum
import typing


class ProblemKind(enum.Enum):
    """The kind of input that a problem was found in."""

    SETTINGS = 'settings'
    NOTE = 'note'
    VALUE = 'configuration value'
    USAGE = 'usage'
    CONNECTION = 'connection'
    TRACE = 'trace'


class Problem(typing.NamedTuple):
    """One fault in input from a user or the platform.

    ``where`` is the field, file or value, and ``what`` is the fault.
    """

    kind: ProblemKind
    where: str
    what: str
    remedy: str

    @property
    def message(self) -> str:
        """Return the kind, location, fault and remedy on one line."""
        return f'{self.kind.value}: {self.where}: {self.what}; {self.remedy}'


class UserError(Exception):
    """An error that the user can correct; printed without a traceback."""

    def __init__(self, problem: Problem) -> None:
        """Use the message of ``problem`` as the text of the exception."""
        super().__init__(problem.message)
        self.problem = problem
