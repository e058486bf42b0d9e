"""The actions that the decision code requests from the I/O shell."""

import typing

from oleanderstair import clock
from oleanderstair.domain import events, messages, outcomes

# Further events


class Notify(typing.NamedTuple):
    """Run the systems of another event at once.

    The shell never receives this action.
    """

    event: events.Event


class Schedule(typing.NamedTuple):
    """Handle an event after ``after_ms``."""

    event: events.Event
    after_ms: clock.Millis


# Calls


class Dispatch(typing.NamedTuple):
    """Send a call to a target.

    ``fresh`` requires a new connection. The attempt ends as SILENT if there
    is no answer within ``silence_ms``. ``budget_ms`` is the time left until
    the call's deadline. ``born_ms`` is the start time of the target, 0 if
    unknown.
    """

    call_id: int
    attempt_id: int
    target_id: str
    address: str
    fresh: bool
    silence_ms: clock.Millis
    budget_ms: clock.Millis
    born_ms: int = 0


class CancelAttempt(typing.NamedTuple):
    """Cancel an attempt and close its connection."""

    call_id: int
    attempt_id: int


class Relay(typing.NamedTuple):
    """Send the answer of an attempt to the caller, or to the forwarding peer.

    If ``record`` is true, the answer is kept for resends until
    ``DropRecorded``.
    """

    call_id: int
    attempt_id: int
    record: bool = False


class RelayRecorded(typing.NamedTuple):
    """Answer a resent call with the recorded answer of the call that ran."""

    call_id: int
    source_call_id: int


class RelayHome(typing.NamedTuple):
    """Send the caller the answer that came from the home of its key."""

    call_id: int


class Refuse(typing.NamedTuple):
    """Answer a call with a refusal by this instance or by its key's home.

    ``retry_after_ms`` is 0 if no time is given; ``detail`` is text for the
    response body.
    """

    call_id: int
    outcome: outcomes.Outcome
    reason: outcomes.Reason
    retry_after_ms: clock.Millis = 0
    detail: str = ''


class ForwardHome(typing.NamedTuple):
    """Forward a keyed call to its home, or a call on a route to a peer.

    ``budget_ms`` is the time left until the call's deadline. For a call on a
    route, ``service`` is where it goes, ``configuration`` the number of the
    one in force here, and ``max_attempts`` how many attempts are left.
    """

    call_id: int
    home: str
    address: str
    budget_ms: clock.Millis
    service: str = ''
    configuration: int = 0
    max_attempts: int = 0


class DropRecorded(typing.NamedTuple):
    """Drop the recorded answer of a call.

    Its epoch was forgotten, or the recorded answers took too much memory.
    """

    call_id: int


class CloseIdle(typing.NamedTuple):
    """Close the idle connections to a target."""

    target_id: str


# Platform, targets and peers


class ReadValue(typing.NamedTuple):
    """Read a configuration value once; ``ValueRead`` has its ``nonce``."""

    name: str
    nonce: int = 0


class WatchValue(typing.NamedTuple):
    """Watch a value until it differs from ``digest``, or for ``bound_ms``."""

    name: str
    digest: str
    bound_ms: clock.Millis


class ReadInstances(typing.NamedTuple):
    """Read the platform's instance list."""


class ReadStore(typing.NamedTuple):
    """Read the whole configuration and registry from the store.

    ``bound_ms`` is the timeout of each page.
    """

    bound_ms: clock.Millis


class WatchStore(typing.NamedTuple):
    """Watch the store for changes after a revision.

    The store ends a watch without changes after ``bound_ms``. If no response
    has come ``slack_ms`` later, the watch has failed.
    """

    after_revision: int
    bound_ms: clock.Millis
    slack_ms: clock.Millis


class ReadLoad(typing.NamedTuple):
    """Read the load report of a target, within ``bound_ms``."""

    target_id: str
    address: str
    path: str
    bound_ms: clock.Millis
    born_ms: int = 0


READS_PER_PROBE: typing.Final = 2
"""The number of requests of a probe: one for health and one for load."""


class Probe(typing.NamedTuple):
    """Read the health and load endpoints of a target, within ``bound_ms``."""

    target_id: str
    address: str
    bound_ms: clock.Millis


class SendPeer(typing.NamedTuple):
    """Send a message to a peer; it may be lost."""

    incarnation: str
    address: str
    message: messages.Message


# Observability


class Audit(typing.NamedTuple):
    """Record a change in the audit trail and the log."""

    kind: str
    subject: str
    actor: str
    why: str


class Count(typing.NamedTuple):
    """Add to a counter."""

    name: str
    label: str = ''
    amount: int = 1


class Observe(typing.NamedTuple):
    """Record a duration in ms in a histogram."""

    name: str
    label: str
    span_ms: clock.Millis


class Exit(typing.NamedTuple):
    """End the process, as the planned stop is complete."""


CallAction: typing.TypeAlias = (
    Dispatch
    | CancelAttempt
    | Relay
    | RelayRecorded
    | RelayHome
    | Refuse
    | ForwardHome
    | DropRecorded
    | CloseIdle
)

ReadAction: typing.TypeAlias = (
    ReadValue | WatchValue | ReadInstances | ReadStore | WatchStore | ReadLoad
)

Action: typing.TypeAlias = (
    Notify
    | Schedule
    | CallAction
    | ReadAction
    | Probe
    | SendPeer
    | Audit
    | Count
    | Observe
    | Exit
)
