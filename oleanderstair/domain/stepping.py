"""Runs the systems that an event concerns, in a fixed order."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world


class System(typing.Protocol):
    """A rule that reads and changes tables at an event."""

    def __call__(
        self,
        state: world.World,
        event: typing.Any,
        now_ms: clock.Millis,
    ) -> list[actions.Action]:
        """Change the tables and return what the shell shall do."""


SystemsByEvent: typing.TypeAlias = typing.Mapping[
    type[events.Event],
    tuple[System, ...],
]


class Step(typing.Protocol):
    """Run the systems of an event and return their actions in order."""

    def __call__(
        self,
        state: world.World,
        event: events.Event,
        now_ms: clock.Millis,
    ) -> list[actions.Action]:
        """Change the tables and return what the shell shall do."""


def run_systems(
    systems_by_event: SystemsByEvent,
    state: world.World,
    event: events.Event,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Run the systems of ``event``, and of those that they notify."""
    done: list[actions.Action] = []
    for system in systems_by_event.get(type(event), ()):
        for action in system(state, event, now_ms):
            if isinstance(action, actions.Notify):
                done.extend(
                    run_systems(systems_by_event, state, action.event, now_ms),
                )
            else:
                done.append(action)
    return done
