"""The runtime of an instance whose configuration comes by release notes."""

import typing

import anyio.abc

from oleanderstair.domain import actions, balancer, events, world
from oleanderstair.domain.configuration import read_schedule
from oleanderstair.engine import (
    dependencies,
    forwarded_calls,
    peering,
    peers,
    pending,
    runtime,
)

Recorder: typing.TypeAlias = runtime.Recorder


def _value_failure_of(
    action: actions.ReadValue | actions.WatchValue, error: Exception
) -> events.ReadFailed:
    return events.ReadFailed(action.name, repr(error))


def _instances_failure_of(
    action: actions.ReadInstances, error: Exception
) -> events.ReadFailed:
    return events.ReadFailed(read_schedule.INSTANCE_LIST_NAME, repr(error))


def _probe_failure_of(
    action: actions.Probe, error: Exception
) -> events.ProbeEnded:
    return events.ProbeEnded(action.target_id, None, action.bound_ms)


class BalancerRuntime(runtime.Runtime):
    """Runs the balancer with peers, platform reads and keyed calls."""

    def __init__(
        self,
        state: world.World,
        balancer_dependencies: dependencies.BalancerDependencies,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Run the I/O for ``state`` in the task group ``tasks``."""
        super().__init__(state, balancer.step, balancer_dependencies, tasks)
        self.balancer_dependencies = balancer_dependencies
        self._forwarded_calls = forwarded_calls.create(
            self, tasks, balancer_dependencies.link, self._find_peer_address
        )
        self._messenger = peering.create(
            self, balancer_dependencies.link, self._receive_message
        )
        self.add_action_handlers(
            {
                actions.RelayRecorded: self.settling.relay_recorded,
                actions.RelayHome: self.settling.relay_home_answer,
                actions.ForwardHome: self._forwarded_calls.send_to_peer,
                actions.DropRecorded: self.settling.drop_recorded,
                actions.ReadValue: self.handler_for_read(
                    balancer_dependencies.read_value, _value_failure_of
                ),
                actions.WatchValue: self.handler_for_read(
                    balancer_dependencies.watch_value, _value_failure_of
                ),
                actions.ReadInstances: self.handler_for_read(
                    balancer_dependencies.read_instances, _instances_failure_of
                ),
                actions.Probe: self.handler_for_read(
                    balancer_dependencies.probe, _probe_failure_of
                ),
                actions.SendPeer: self._messenger.send,
            },
        )

    def service_of(self, target_id: str) -> str:
        """Return the service of a target, or its id if it is unknown."""
        target = self.state.catalogue.in_force.target_by_id.get(target_id)
        return target_id if target is None else target.service

    async def run_peers(self) -> None:
        """Handle the messages of peers until cancelled."""
        await self._messenger.run_receiver()

    def count_read(self, event: events.Event) -> None:
        """Count a finished read; also record the duration of a probe."""
        super().count_read(event)
        if isinstance(event, events.ProbeEnded):
            result_label = 'failed' if event.report is None else 'answered'
            self.metrics.observe('probe-ms', result_label, event.took_ms)

    def service_label_of(self, pending_call: pending.PendingCall) -> str:
        """Return the service of a call, or ``unknown`` if no note defines it.

        Callers may send any name, so undefined names share one metric label.
        """
        received = pending_call.received
        if isinstance(received, events.CallReceived):
            known = self.state.catalogue.in_force.service_by_name
            return received.service if received.service in known else 'unknown'
        return super().service_label_of(pending_call)

    def _receive_message(self, received: peers.ReceivedMessage) -> None:
        if not self._forwarded_calls.receive_message(received):
            self.handle(events.PeerHeard(received.sender, received.message))

    def _find_peer_address(self, incarnation: str) -> str | None:
        peer = self.state.instances.peer_by_incarnation.get(incarnation)
        return peer.peer_address if peer else None
