"""Release notes and the catalogue of services and targets they result in."""

import enum
import typing

import msgspec

GENESIS_DIGEST: typing.Final = ''
"""The parent digest of the first note."""

SHORT_DIGEST_LENGTH: typing.Final = 16
"""The number of characters in a shortened digest."""


class CallClass(enum.Enum):
    """The priority of a call in an overload; the last class is shed first."""

    INTERACTIVE = 'interactive'
    ORDINARY = 'ordinary'
    DEFERRABLE = 'deferrable'


class CallRule(typing.NamedTuple):
    """A rule for the calls of a method below a path prefix.

    An empty method matches any. ``idempotent`` is None if the method decides,
    and ``call_class`` is None if the service decides.
    """

    path_prefix: str
    method: str = ''
    idempotent: bool | None = None
    call_class: CallClass | None = None


class Service(typing.NamedTuple):
    """A service that callers address, as the release notes define it."""

    name: str
    region: str
    call_class: CallClass = CallClass.INTERACTIVE
    deadline_ms: int = 1000
    probe_budget_per_s: int = 20
    retry_share: float = 0.1
    hedge_share: float = 0.02
    rules: tuple[CallRule, ...] = ()


class Target(typing.NamedTuple):
    """A back end server of a service, as the release notes define it."""

    target_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    connections: int = 300


class Note(typing.NamedTuple):
    """One release note; ``parent`` is the digest of the note before it."""

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
    """All services and targets after a note.

    A catalogue is never changed in place.
    """

    number: int
    digest: str
    service_by_name: dict[str, Service]
    target_by_id: dict[str, Target]
    target_ids_by_service: dict[str, tuple[str, ...]]


class Publication(typing.NamedTuple):
    """The published bytes of a note or catalogue, kept to send to peers.

    ``whole_catalogue`` is true if they are those of a catalogue.
    """

    number: int
    digest: str
    body: bytes
    whole_catalogue: bool


class Refusal(typing.NamedTuple):
    """A note or value that was refused, and why.

    ``is_fork`` is true if it is another note of a number that is known.
    """

    number: int
    digest: str
    source: str
    why: str
    is_fork: bool = False


class CatalogueTable(msgspec.Struct):
    """The catalogue in force here, and what is known of newer notes.

    ``highest_read`` is the highest number of a head that this instance has
    read itself; ``highest_known`` includes the numbers sent by peers. The kept
    publications follow the note with ``base_number`` and ``base_digest``.
    ``early_body_by_number`` holds notes whose predecessor is not known yet.
    ``index_body`` and ``part_body_by_name`` hold the parts of a whole catalogue
    that is being read.
    """

    in_force: Catalogue
    in_force_since_ms: float = 0
    publication_by_number: dict[int, Publication] = msgspec.field(
        default_factory=dict,
    )
    base_number: int = 0
    base_digest: str = GENESIS_DIGEST
    whole_publication: Publication | None = None
    highest_known: int = 0
    highest_read: int = 0
    refusal_by_digest: dict[str, Refusal] = msgspec.field(
        default_factory=dict,
    )
    early_body_by_number: dict[int, bytes] = msgspec.field(
        default_factory=dict,
    )
    part_body_by_name: dict[str, bytes] = msgspec.field(default_factory=dict)
    index_body: bytes = b''


def short_digest(digest: str) -> str:
    """Return the shortened digest that heartbeats carry."""
    return digest[:SHORT_DIGEST_LENGTH]


def empty_catalogue() -> Catalogue:
    """Create the empty catalogue, which is in force before the first note."""
    return Catalogue(0, GENESIS_DIGEST, {}, {}, {})


def create() -> CatalogueTable:
    """Create a table with no note in force."""
    return CatalogueTable(empty_catalogue())
