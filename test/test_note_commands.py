"""The commands that compare and compact release notes."""

import json
import subprocess
import sys

import pytest

from oleanderstair.domain.configuration import catalogues, notes
from oleanderstair.emulator import harness
from test import helper


@pytest.fixture(name='written')
def write_notes(tmp_path):
    """Write three notes and return their paths."""
    first = harness.first_note({'burza': [harness.Target('burza-1')]})
    added = harness.target_entry(harness.Target('burza-2'), 'burza')
    changed = harness.target_entry(harness.Target('burza-1', 8), 'burza')
    bodies = [
        first,
        {'added': {'targets': [added]}, 'changed': {'targets': [changed]}},
        {'withdrawn': {'targets': ['burza-2']}},
    ]
    paths = []
    parent = ''
    for number, fields in enumerate(bodies, start=1):
        body = helper.encode_json(
            {'number': number, 'parent': parent, **fields},
        )
        parent = notes.body_digest(body)
        paths.append(tmp_path / f'{number}.json')
        paths[-1].write_bytes(body)
    return paths


def run(*arguments):
    words = map(str, arguments)
    return subprocess.run(
        [sys.executable, '-m', 'oleanderstair.ui', 'note', *words],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def test_diff_names_each_change_between_two_notes(written):
    done = run('diff', written[0], written[1], '--json')
    rows = json.loads(done.stdout)
    assert [(row['name'], row['change'], row['fields']) for row in rows] == [
        ('burza-1', 'changed', 'slots=4->8'),
        ('burza-2', 'added', ''),
    ]
    back = json.loads(run('diff', written[1], written[2], '--json').stdout)
    assert [row['change'] for row in back] == ['withdrawn']


def test_compacted_values_build_the_same_catalogue(written, tmp_path):
    done = run('compact', *written, '--into', tmp_path / 'values', '--json')
    rows = json.loads(done.stdout)
    body_by_name = {
        row['value']: (tmp_path / row['file']).read_bytes() for row in rows
    }
    index_body = body_by_name.pop(catalogues.INDEX_NAME)
    index = catalogues.parse_index(index_body).ok_value
    whole = catalogues.join_parts(index, body_by_name).ok_value
    assert (whole.number, list(whole.target_by_id)) == (3, ['burza-1'])
    assert whole.digest == notes.body_digest(written[2].read_bytes())


def test_unreadable_note_is_a_users_error(tmp_path):
    done = run('diff', tmp_path / 'none.json', tmp_path / 'none.json')
    assert done.returncode == 2
    assert 'Traceback' not in done.stderr
