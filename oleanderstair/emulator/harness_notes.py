"""Release notes that name the targets of the harness."""

import typing

from oleanderstair.emulator import harness_parts


def first_note(
    services: typing.Mapping[str, typing.Sequence[harness_parts.Target]],
    **service_fields: typing.Any,
) -> dict[str, typing.Any]:
    """Return the note that adds ``services`` with their targets."""
    return {
        'added': {
            'services': [
                {'name': name, 'region': 'west', **service_fields}
                for name in services
            ],
            'targets': [
                target_entry(target, name)
                for name, members in services.items()
                for target in members
            ],
        },
    }


def target_entry(
    target: harness_parts.Target, service: str
) -> dict[str, typing.Any]:
    """Return the entry of a target in a note."""
    return {
        'id': target.target_id,
        'service': service,
        'address': f'{target.target_id}:80',
        'data_centre': 'trnava',
        'slots': target.slots,
    }
