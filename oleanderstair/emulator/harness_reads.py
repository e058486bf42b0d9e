"""Reads of the harness: configuration values, instances and probes."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events
from oleanderstair.domain.configuration import notes
from oleanderstair.emulator import harness_parts


class Host(typing.Protocol):
    """What reads need of the harness."""

    listed: dict[str, events.ListedInstance]
    target_by_id: dict[str, harness_parts.Target]
    platform_down: bool
    platform_reads: int
    read_rule: typing.Callable[[str, str], bytes | None]

    def after(
        self,
        delay_ms: clock.Millis,
        work: typing.Callable[[], None],
    ) -> None:
        """Run ``work`` once ``delay_ms`` have passed."""

    def later(
        self,
        delay_ms: clock.Millis,
        instance_id: str,
        event: events.Event,
    ) -> None:
        """Give an event to an instance after a time."""


class Reads:
    """The reads and watches under way in a harness."""

    def __init__(self, host: Host) -> None:
        """Answer reads of the instances of ``host``."""
        self._host = host
        self._watches: list[tuple[str, str]] = []

    def read_value(self, instance_id: str, action: actions.ReadValue) -> None:
        self._answer_value(
            instance_id, action.name, harness_parts.HOP_MS, action.nonce
        )

    def watch_value(
        self,
        instance_id: str,
        action: actions.WatchValue,
    ) -> None:
        body = self._host.read_rule(instance_id, action.name) or b''
        if self._host.platform_down or notes.body_digest(body) != action.digest:
            self._answer_value(instance_id, action.name, harness_parts.HOP_MS)
            return
        watch = (instance_id, action.name)
        self._watches.append(watch)
        self._host.after(action.bound_ms, lambda: self._end_watch(watch))

    def _end_watch(self, watch: tuple[str, str]) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._answer_value(*watch, harness_parts.HOP_MS)

    def end_watches(self) -> None:
        for watch in list(self._watches):
            self._end_watch(watch)

    def _answer_value(
        self,
        instance_id: str,
        name: str,
        delay_ms: clock.Millis,
        nonce: int = 0,
    ) -> None:
        self._host.platform_reads += 1
        if self._host.platform_down:
            event: events.Event = events.ReadFailed(name, 'service down')
        else:
            body = self._host.read_rule(instance_id, name)
            event = events.ValueRead(name, body, nonce)
        self._host.later(delay_ms, instance_id, event)

    def read_instances(
        self,
        instance_id: str,
        action: actions.ReadInstances,
    ) -> None:
        event = events.InstancesRead(tuple(self._host.listed.values()))
        self._host.later(harness_parts.HOP_MS, instance_id, event)

    def probe(self, instance_id: str, action: actions.Probe) -> None:
        target = self._host.target_by_id.get(action.target_id)
        if target is None:
            failed = events.ProbeEnded(
                action.target_id, None, harness_parts.HOP_MS
            )
            self._host.later(harness_parts.HOP_MS, instance_id, failed)
            return
        target.probe_reads += 2
        reachable = target.behaviour not in {
            harness_parts.Behaviour.UNREACHABLE,
            harness_parts.Behaviour.SILENT,
        }
        report = target.report() if reachable else None
        took_ms = 2 * harness_parts.HOP_MS if reachable else action.bound_ms
        self._host.later(
            took_ms,
            instance_id,
            events.ProbeEnded(action.target_id, report, took_ms),
        )
