"""Measures reading and applying notes on a catalogue of the target size.

Run as ``python -m bench.notes``; it prints one JSON object.
"""

import sys
import timeit
import tracemalloc

import msgspec

from oleanderstair.domain.configuration import catalogues, notes
from oleanderstair.domain.tables import catalogue
from oleanderstair.emulator import harness

SERVICES = 110
TARGETS = 1800
ROUNDS = 200
US_PER_S = 1e6


def make_first_note() -> bytes:
    """Return a note that adds all services and targets."""
    members = {
        f'service-{number}': [
            harness.Target(f'service-{number}-{target}')
            for target in range(number, TARGETS, SERVICES)
        ]
        for number in range(SERVICES)
    }
    return msgspec.json.encode(
        {'number': 1, 'parent': '', **harness.first_note(members)},
    )


def time_us(work: str, names: dict[str, object], rounds: int) -> float:
    """Return the least time of one run in microseconds."""
    best = min(timeit.repeat(work, globals=names, number=1, repeat=rounds))
    return round(best * US_PER_S, 1)


def main() -> None:
    """Print the times in microseconds and the sizes in bytes."""
    first = make_first_note()
    parsed = notes.parse_note(first).unwrap()
    whole = notes.apply_note(catalogue.empty_catalogue(), parsed).unwrap()
    target = harness.target_entry(
        harness.Target('service-1-1', slots=6),
        'service-1',
    )
    small = msgspec.json.encode(
        {'number': 2, 'parent': whole.digest, 'changed': {'targets': [target]}},
    )
    names = {
        'notes': notes,
        'catalogues': catalogues,
        'whole': whole,
        'first': first,
        'small': small,
        'note': notes.parse_note(small).unwrap(),
        'body': catalogues.encode_catalogue(whole),
    }
    tracemalloc.start()
    kept = catalogues.parse_catalogue(catalogues.encode_catalogue(whole))
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    report = {
        'services': len(kept.unwrap().service_by_name),
        'targets': len(whole.target_by_id),
        'whole_bytes': len(catalogues.encode_catalogue(whole)),
        'whole_memory_bytes': memory,
        'small_bytes': len(small),
        'parse_small_us': time_us('notes.parse_note(small)', names, ROUNDS),
        'apply_small_us': time_us(
            'notes.apply_note(whole, note)',
            names,
            ROUNDS,
        ),
        'parse_whole_us': time_us(
            'catalogues.parse_catalogue(body)', names, 10
        ),
        'encode_whole_us': time_us(
            'catalogues.encode_catalogue(whole)', names, 10
        ),
    }
    sys.stdout.write(f'{msgspec.json.encode(report).decode()}\n')


if __name__ == '__main__':
    main()
