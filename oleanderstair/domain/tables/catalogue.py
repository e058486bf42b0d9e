"""Release notes and the catalogue of services and targets they add up to."""

import enum
import typing

import msgspec

GENESIS_DIGEST: typing.Final = ''
SHORT_DIGEST_LENGTH: typing.Final = 16


class CallClass(enum.Enum):
    """How much a call matters at the crest; the first goes last."""

    INTERACTIVE = 'interactive'
    ORDINARY = 'ordinary'
    DEFERRABLE = 'deferrable'


class CallRule(typing.NamedTuple):
    """What holds for the calls of a method below a path.

    An empty method matches any. ``idempotent`` is None where the method
    decides, and ``call_class`` is None where the service does.
    """

    path_prefix: str
    method: str = ''
    idempotent: bool | None = None
    call_class: CallClass | None = None


class Service(typing.NamedTuple):
    """A service that callers name, as the release notes define it."""

    name: str
    region: str
    call_class: CallClass = CallClass.INTERACTIVE
    deadline_ms: int = 1000
    probe_budget_per_s: int = 20
    retry_share: float = 0.1
    hedge_share: float = 0.02
    rules: tuple[CallRule, ...] = ()


class Target(typing.NamedTuple):
    """A server of a service, as the release notes define it."""

    target_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    connections: int = 300


class Note(typing.NamedTuple):
    """One release note, chained to its parent by digest."""

    number: int
    parent: str
    digest: str
    added_services: tuple[Service, ...] = ()
    added_targets: tuple[Target, ...] = ()
    changed_services: tuple[Service, ...] = ()
    changed_targets: tuple[Target, ...] = ()
    withdrawn_services: tuple[str, ...] = ()
    withdrawn_targets: tuple[str, ...] = ()


class Catalogue(typing.NamedTuple):
    """All services and targets after a note; never changed in place."""

    number: int
    digest: str
    service_by_name: dict[str, Service]
    target_by_id: dict[str, Target]
    target_ids_by_service: dict[str, tuple[str, ...]]


class Publication(typing.NamedTuple):
    """The published bytes of a note, kept to pass on to peers."""

    number: int
    digest: str
    body: bytes
    whole_catalogue: bool


class Refusal(typing.NamedTuple):
    """A note or value that was refused, and why; its digest names it."""

    number: int
    digest: str
    source: str
    why: str
    is_fork: bool = False


class CatalogueTable(msgspec.Struct):
    """The catalogue in force here and what was heard of newer notes.

    ``highest_read`` is the newest head that this instance has read from the
    service; ``highest_heard`` counts peers as well. The kept publications
    follow on the note that ``base_number`` and ``base_digest`` name.
    """

    in_force: Catalogue
    in_force_since_ms: float = 0
    publication_by_number: dict[int, Publication] = msgspec.field(
        default_factory=dict,
    )
    base_number: int = 0
    base_digest: str = GENESIS_DIGEST
    whole: Publication | None = None
    highest_heard: int = 0
    highest_read: int = 0
    refusal_by_digest: dict[str, Refusal] = msgspec.field(
        default_factory=dict,
    )
    early_body_by_number: dict[int, bytes] = msgspec.field(
        default_factory=dict,
    )
    part_by_name: dict[str, bytes] = msgspec.field(default_factory=dict)
    index_body: bytes = b''


def short_digest(digest: str) -> str:
    """Return the part of a digest that heartbeats carry."""
    return digest[:SHORT_DIGEST_LENGTH]


def empty() -> Catalogue:
    """Create the catalogue that stands before the first note."""
    return Catalogue(0, GENESIS_DIGEST, {}, {}, {})


def create() -> CatalogueTable:
    """Create a table with no note in force."""
    return CatalogueTable(empty())
