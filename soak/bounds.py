"""Bounds of the users' pages, in seconds, and of the soak's own waiting."""

import typing

from oleanderstair import clock

STABLE_S: typing.Final = 3
"""How long an instance is calm before bounds hold for it."""

CONFIGURATION_S: typing.Final = 2
"""From the store's acknowledgement until a configuration is in force."""

REVERT_S: typing.Final = 0.25
"""From the first effect of a version until none older may show."""

LEAVE_S: typing.Final = 2
"""From the acknowledgement until a leaving target gets nothing new."""

EVACUATE_S: typing.Final = 5
"""From the acknowledgement of an evacuation until targets there get nothing
new."""

LIMIT_PER_S: typing.Final = 2
"""The requests a second that a target accepts while it limits them."""

LIMIT_WINDOW_S: typing.Final = 4
LIMIT_FACTOR: typing.Final = 1.5
LIMIT_SLACK: typing.Final = 5
"""A limited target gets no more in a window than the factor times what its
limit allows there, and the slack."""

COLD_PER_S: typing.Final = 8
"""The requests a second that a target tolerates in its slow start."""

COLD_FACTOR: typing.Final = 1.5
COLD_SLACK: typing.Final = 8
"""A cold target gets no more in any second than the factor times its rate, and
the slack, from all instances, in touch or not."""

COLD_S: typing.Final = 3
"""How long a slow start lasts."""

STOP_S: typing.Final = 6
"""From the signal of a planned stop until the process is killed."""

STOP_SENT_S: typing.Final = 3
STOP_WORK_S: typing.Final = 5
"""A stop excuses the end of a call that was sent no later than the first after
the signal, if its target was still at work in the last sixth of the stop."""

LOSS_S: typing.Final = 0.2
"""How long after its last byte a call counts as read by the instance, and how
close together an end of work and an answer in its place are."""

RECOVER_S: typing.Final = 15
"""From the last fault until calls are served again."""

RECOVERED_SHARE: typing.Final = 0.25

STALL_S: typing.Final = 0.05
"""A gap in the soak's own ticks that makes bounds of time unjudged."""

START_S: typing.Final = 60
"""How long the first start is waited for, however busy the machine."""

LATE_RUNS_S: typing.Final = 2
"""How long refused calls are watched after the last call, at least: those with
a longer deadline are watched until then."""

DEADLINE_MS: typing.Final[clock.Millis] = 1500
PAUSED_DEADLINE_MS: typing.Final[clock.Millis] = 5000
"""The deadline of calls whose answer comes in pieces."""

TIMEOUT_MS: typing.Final[clock.Millis] = 6000
