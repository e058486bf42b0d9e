"""The tunable limits of the decision code."""

import typing


TARGET_CHOICES: typing.Final = (
    'slots',
    'sample',
    'random',
    'round-robin',
    'least',
)
"""The values of ``choice``, by which a settings file sets how a target is
chosen."""


class Policy(typing.NamedTuple):
    """Limits that a settings file may change, with their defaults.

    ``default_settings.jsonc`` describes each of them. Units are part of the
    names; fields without a unit are counts, shares, ratios, choices or
    switches.
    """

    tick_ms: int = 50
    max_tick_age_ms: int = 500
    answer_validity_ms: int = 5000
    peer_silence_ms: int = 3000
    heartbeat_ms: int = 500
    peer_bytes_per_s: int = 4000
    list_read_ms: int = 1000
    value_read_ms: int = 1000
    value_bound_ms: int = 2000
    watch_bound_ms: int = 20000
    readers_per_data_centre: int = 2
    confirm_without_peers: bool = False
    probe_bound_ms: int = 500
    queue_limit: int = 256
    max_depth: int = 27
    key_limit: int = 20000
    key_epoch_ms: int = 60000
    key_epochs_kept: int = 5
    key_answer_bytes: int = 8000000
    ramp_stages: int = 4
    ramp_wait_ms: int = 1000
    ramp_evidence: int = 4
    ramp: str = 'fleet'
    eject_failures: int = 3
    eject_ms: int = 2000
    eject_share: float = 0.5
    suspect_ms: int = 300000
    choice: str = 'slots'
    stop_grace_s: float = 30.0
    retry_ratio: float = 0.2
    retry_slack: float = 0
    retry_window_s: float = 10
    assumed_instances: int = 24
    probes_per_s: float = 60
    rest_limit_ms: int = 600_000
    first_start: bool = False
    spare_slow_slots: bool = True
    evacuation_bound_ms: float = 0
    slow_start_overage: float = 0
    slow_start_slack: float = 0
    admission_by_rank: bool = False
    adaptive_hedges: bool = False
    hedge_limit_share: float = 1.0

    @property
    def uses_operator_state(self) -> bool:
        """Return whether evacuations or slow start limits are followed."""
        return self.evacuation_bound_ms > 0 or self.uses_slow_start_limits

    @property
    def uses_slow_start_limits(self) -> bool:
        """Return whether targets in slow start are limited."""
        return self.slow_start_overage > 0
