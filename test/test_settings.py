"""Settings: checks, the overlay, and the documented defaults."""

import importlib.resources
import json
import re

import msgspec
import pytest
import zmq

from oleanderstair import errors, settings
from oleanderstair.domain import policy
from oleanderstair.domain.targets import routing

PLAIN = {'instance': {'id': 'a'}, 'peers': {'allow_plain': True}}
PUBLIC, SECRET = (key.decode() for key in zmq.curve_keypair())


def test_each_choice_that_settings_name_exists():
    assert policy.CHOICES == tuple(routing.CHOICE_BY_NAME)


def merged(**sections):
    return {**PLAIN, **sections}


@pytest.mark.parametrize(
    ('overlay', 'field'),
    [
        (merged(callers={'prot': 1}), 'prot'),
        (merged(callers={'port': 'x'}), 'callers.port'),
        (merged(callers={'port': 70000}), 'callers.port'),
        (merged(callers={'host': 'a b'}), 'callers.host'),
        (merged(callers={'advertise': 'nowhere'}), 'callers.advertise'),
        (merged(callers={'max_connections': 0}), 'callers.max_connections'),
        (merged(callers=7), 'callers'),
        (merged(instance={'id': 'A B'}), 'instance.id'),
        (merged(instance={}), 'instance.id'),
        (merged(policy={'tick_ms': 0}), 'policy.tick_ms'),
        (merged(policy={'choice': 'best'}), 'policy.choice'),
        (merged(policy={'eject_share': 2}), 'policy.eject_share'),
        (merged(policy={'no_such_limit': 2}), 'no_such_limit'),
        (merged(platform={'instances_url': 'x'}), 'platform.instances_url'),
        (merged(peers={}), 'peers.public_key'),
        (merged(peers={'public_key': 'short'}), 'peers.public_key'),
        (merged(peers={'public_key': PUBLIC}), 'peers.secret_key'),
        (merged(peers={'secret_key': SECRET}), 'peers.public_key'),
        (
            merged(peers={'public_key': SECRET, 'secret_key': SECRET}),
            'peers.public_key',
        ),
    ],
)
def test_fault_names_field_and_remedy(overlay, field):
    with pytest.raises(errors.UserError, match=f'{field}.*; .+$'):
        settings.build(overlay)


def test_pair_of_keys_is_taken_and_the_secret_is_not_shown():
    pair = {'public_key': PUBLIC, 'secret_key': SECRET}
    tree = settings.as_tree(settings.build(merged(peers=pair)))
    assert tree['peers']['public_key'] == PUBLIC
    assert SECRET not in json.dumps(tree)


def test_every_limit_is_documented_with_its_default():
    package = importlib.resources.files('oleanderstair')
    text = (package / settings.DEFAULTS_NAME).read_text()
    _, _, section = text.partition('"policy": {')
    documented = {
        name: msgspec.json.decode(default)
        for name, default in re.findall(r'// "(\w+)": (\S+),\n', section)
    }
    assert documented == policy.Policy()._asdict()
