"""The pages say what the code does, and their commands work as written."""

import pathlib
import re
import subprocess

import pytest

from oleanderstair.domain import outcomes
from test import conftest

ROOT = pathlib.Path(__file__).parent.parent
TOUR = re.findall(
    r'^    (\.venv/bin/python -m oleanderstair\.ui .+)$',
    (ROOT / 'README.md').read_text(encoding='utf-8'),
    re.MULTILINE,
)
LINK = re.compile(r'\]\(([^)#:]+)\)')
PAGES = sorted([*ROOT.glob('*.md'), *ROOT.glob('docs/**/*.md')])


def test_callers_page_gives_every_reason_with_its_remedy():
    page = (ROOT / 'docs/CALLERS.md').read_text(encoding='utf-8')
    rows = [line for line in page.splitlines() if line.startswith('| `')]
    expected = [
        f'| `{reason.value}` | {advice.status.value} | {advice.remedy} |'
        for reason, advice in outcomes.RESPONSE_BY_REASON.items()
    ]
    assert [row for row in rows if re.search(r'\| \d{3} \|', row)] == expected


@pytest.mark.parametrize('command', TOUR)
def test_command_of_the_tour_works(command):
    done = subprocess.run(
        command.split(),
        cwd=ROOT,
        capture_output=True,
        timeout=60,
    )
    assert done.returncode == 0, done.stderr.decode()


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_links_of_a_page_lead_somewhere(page):
    for target in LINK.findall(page.read_text(encoding='utf-8')):
        assert (page.parent / target).exists(), target


def test_known_red_entry_has_four_fields():
    whole = 'test/test_a.py::test_b | make unit, seed 1 | told twice | 6'
    assert conftest.read_known_red(f'# note\n\n{whole}\n') == {
        'test/test_a.py::test_b': 'told twice 6',
    }
    with pytest.raises(pytest.UsageError):
        conftest.read_known_red('test/test_a.py::test_b | make unit')
