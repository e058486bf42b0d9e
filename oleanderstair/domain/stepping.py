"""Runs the systems of an event in a fixed order."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world


class System(typing.Protocol):
    """A function that handles an event by reading and changing tables."""

    def __call__(
        self,
        state: world.World,
        event: typing.Any,
        now_ms: clock.Millis,
    ) -> list[actions.Action]:
        """Change the tables and return actions.

        ``Notify`` actions are handled by ``run_systems``, others by the shell.
        """


SystemsByEvent: typing.TypeAlias = typing.Mapping[
    type[events.Event],
    tuple[System, ...],
]


class Step(typing.Protocol):
    """A function that runs the systems of an event."""

    def __call__(
        self,
        state: world.World,
        event: events.Event,
        now_ms: clock.Millis,
    ) -> list[actions.Action]:
        """Change the tables; return the systems' actions in order."""


def run_systems(
    systems_by_event: SystemsByEvent,
    state: world.World,
    event: events.Event,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Run the systems of ``event`` and return their actions in order.

    A ``Notify`` action is replaced by the actions of the systems of its
    event, which run before the next system.
    """
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
