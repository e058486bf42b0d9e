"""Settings: checks, merging over defaults, and documentation of defaults."""

import importlib.resources
import json
import re

import msgspec
import pytest
import zmq

from oleanderstair import errors, settings
from oleanderstair.domain import policy
from oleanderstair.domain.targets import choice_policies

PLAIN = {'instance': {'id': 'a'}, 'peers': {'allow_plain': True}}
PUBLIC, SECRET = (key.decode() for key in zmq.curve_keypair())


def test_each_documented_choice_exists():
    assert policy.TARGET_CHOICES == tuple(choice_policies.CHOICE_BY_NAME)


def with_sections(**sections):
    return {**PLAIN, **sections}


@pytest.mark.parametrize(
    ('overlay', 'field'),
    [
        (with_sections(callers={'prot': 1}), 'prot'),
        (with_sections(callers={'port': 'x'}), 'callers.port'),
        (with_sections(callers={'port': 70000}), 'callers.port'),
        (with_sections(callers={'host': 'a b'}), 'callers.host'),
        (with_sections(callers={'advertise': 'nowhere'}), 'callers.advertise'),
        (
            with_sections(callers={'max_connections': 0}),
            'callers.max_connections',
        ),
        (with_sections(callers=7), 'callers'),
        (with_sections(instance={'id': 'A B'}), 'instance.id'),
        (with_sections(instance={}), 'instance.id'),
        (with_sections(policy={'tick_ms': 0}), 'policy.tick_ms'),
        (with_sections(policy={'choice': 'best'}), 'policy.choice'),
        (with_sections(policy={'eject_share': 2}), 'policy.eject_share'),
        (
            with_sections(policy={'hedge_limit_share': 1.1}),
            'policy.hedge_limit_share',
        ),
        (with_sections(policy={'no_such_limit': 2}), 'no_such_limit'),
        (
            with_sections(platform={'instances_url': 'x'}),
            'platform.instances_url',
        ),
        (with_sections(peers={}), 'peers.public_key'),
        (with_sections(peers={'public_key': 'short'}), 'peers.public_key'),
        (with_sections(peers={'public_key': PUBLIC}), 'peers.secret_key'),
        (with_sections(peers={'secret_key': SECRET}), 'peers.public_key'),
        (
            with_sections(peers={'public_key': SECRET, 'secret_key': SECRET}),
            'peers.public_key',
        ),
    ],
)
def test_error_names_field_and_remedy(overlay, field):
    with pytest.raises(errors.UserError, match=f'{field}.*; .+$'):
        settings.build(overlay)


def test_key_pair_is_accepted_and_the_secret_key_hidden():
    pair = {'public_key': PUBLIC, 'secret_key': SECRET}
    tree = settings.as_tree(settings.build(with_sections(peers=pair)))
    assert tree['peers']['public_key'] == PUBLIC
    assert SECRET not in json.dumps(tree)


def test_every_limit_is_documented_with_its_default():
    package = importlib.resources.files('oleanderstair')
    text = (package / settings.DEFAULTS_FILE_NAME).read_text()
    _, _, section = text.partition('"policy": {')
    documented = {
        name: msgspec.json.decode(default)
        for name, default in re.findall(r'// "(\w+)": (\S+),\n', section)
    }
    assert documented == policy.Policy()._asdict()
