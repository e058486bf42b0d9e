"""Follows one request through log lines and names the cause of its end."""

import typing

from oleanderstair.explaining import causes, lines

CONTEXT_S: typing.Final = 5
"""How long before a request what its instance believed is told, in s."""

_OF_TARGETS: typing.Final = frozenset(
    ('audit-target', 'target-barred', 'target-trusted'),
)
_BELIEFS: typing.Final = frozenset(
    (
        *_OF_TARGETS,
        'audit-configuration',
        'audit-instance',
        'audit-store',
        'store-lost',
        'store-regained',
        'store-forgot',
        'peers',
        'started',
        'stopped',
        'lines-dropped',
        'fault',
    ),
)


class Said(typing.NamedTuple):
    """A line of one instance; ``at_s`` is wall time in s since 1970."""

    source: str
    at_s: float
    kind: str
    field_by_name: dict[str, str]


class Story(typing.NamedTuple):
    """What was decided on a request, and what was believed around it."""

    request_id: str
    decisions: tuple[Said, ...]
    context: tuple[Said, ...]
    cause: str


def read(name: str, text_lines: typing.Iterable[str]) -> list[Said]:
    """Return the lines of a log; ``name`` stands where none names itself."""
    said: list[Said] = []
    for text in text_lines:
        line = lines.read(text.rstrip('\n'))
        if line is None:
            continue
        fields = dict(line.field_by_name)
        said.append(
            Said(
                line.source.split(' ')[-1] or name,
                _seconds_of(fields.pop('at', '')),
                line.kind,
                fields,
            ),
        )
    return said


def follow(request_id: str, said: typing.Iterable[Said]) -> Story:
    """Return the story of a request; without decisions where none is told."""
    told = list(said)
    decisions = sorted(
        (line for line in told if line.field_by_name.get('id') == request_id),
        key=_time_of,
    )
    context = sorted(
        (
            line
            for line in _of_incarnations(told, decisions)
            if _is_context(line, decisions)
        ),
        key=_time_of,
    )
    return Story(
        request_id,
        tuple(decisions),
        tuple(context),
        causes.name(facts_of(decisions)),
    )


def _of_incarnations(
    told: typing.Sequence[Said],
    decisions: typing.Sequence[Said],
) -> list[Said]:
    """Return the lines of the incarnations that decided.

    What an instance believed before its start is nothing that it knows.
    """
    starts_s_by_source: dict[str, list[float]] = {}
    for start in told:
        if start.kind == 'started':
            starts_s = starts_s_by_source.setdefault(start.source, [])
            starts_s.append(start.at_s)
    decided = {
        _incarnation(decision, starts_s_by_source) for decision in decisions
    }
    return [
        line
        for line in told
        if _incarnation(line, starts_s_by_source) in decided
    ]


def _incarnation(
    line: Said,
    starts_s_by_source: typing.Mapping[str, typing.Sequence[float]],
) -> tuple[str, int]:
    """Return the source of a line, and how often it had started by then."""
    starts_s = starts_s_by_source.get(line.source, ())
    return line.source, sum(start_s <= line.at_s for start_s in starts_s)


def facts_of(decisions: typing.Iterable[Said]) -> list[causes.Fact]:
    """Return lines on one request as the facts that its cause rests on."""
    return [
        causes.Fact(line.kind, line.field_by_name, line.at_s)
        for line in decisions
    ]


def group(said: typing.Iterable[Said]) -> dict[str, list[Said]]:
    """Return the lines that name a request, by its id."""
    lines_by_id: dict[str, list[Said]] = {}
    for line in said:
        request_id = line.field_by_name.get('id')
        if request_id:
            lines_by_id.setdefault(request_id, []).append(line)
    return lines_by_id


def _time_of(line: Said) -> float:
    return line.at_s


def _seconds_of(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0


def _is_context(line: Said, decisions: list[Said]) -> bool:
    if line.kind not in _BELIEFS or not decisions:
        return False
    if line.source not in {told.source for told in decisions}:
        return False
    began_s = decisions[0].at_s - CONTEXT_S
    if not began_s <= line.at_s <= decisions[-1].at_s:
        return False
    if line.kind not in _OF_TARGETS:
        return True
    fields = line.field_by_name
    involved = {told.field_by_name.get('target') for told in decisions}
    return fields.get('subject', fields.get('target')) in involved
