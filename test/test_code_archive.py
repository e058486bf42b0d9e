"""The archive of byte code that a start imports from."""

import os
import subprocess
import sys

import pytest

PROGRAM = """
import sys
sys.path.insert(0, '.')
from oleanderstair import code_archive
finder = code_archive.install(code_archive.PATH)
import library
import package.part
code_archive.uninstall(finder)
loaders = [type(m.__spec__.loader).__name__ for m in (library, package.part)]
print(finder is not None, library.ANSWER, package.part.__file__, *loaders)
"""
BUILD = """
import pathlib, sys
sys.path.insert(0, '.')
import library, package.part
from oleanderstair import code_archive
from oleanderstair.platform import build_archive
build_archive.write(pathlib.Path(code_archive.PATH))
"""


def run(folder, program):
    done = subprocess.run(
        [sys.executable, '-S', '-c', program],
        capture_output=True,
        check=True,
        cwd=folder,
        text=True,
    )
    return done.stdout.split()


@pytest.fixture(name='folder')
def create_program(tmp_path):
    """Copy the modules of the archive beside a small program, and build it."""
    folder = tmp_path / 'built'
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    for name in (
        '__init__.py',
        'code_archive.py',
        'platform/__init__.py',
        'platform/build_archive.py',
    ):
        copied = folder / 'oleanderstair' / name
        copied.parent.mkdir(parents=True, exist_ok=True)
        with open(os.path.join(root, 'oleanderstair', name)) as source:
            copied.write_text(source.read())
    (folder / 'library.py').write_text('ANSWER = 1\n')
    (folder / 'package').mkdir()
    (folder / 'package' / '__init__.py').write_text('')
    (folder / 'package' / 'part.py').write_text('')
    run(folder, BUILD)
    return folder


def test_modules_are_imported_from_the_archive(folder):
    installed, answer, path, *loaders = run(folder, PROGRAM)
    assert (installed, answer) == ('True', '1')
    assert loaders == ['_ArchiveLoader', '_ArchiveLoader']
    assert path == str(folder / 'package' / 'part.py')


# Guards against a start with the code of an earlier build.
def test_changed_source_is_imported_instead(folder):
    (folder / 'library.py').write_text('ANSWER = 22\n')
    _, answer, _, *loaders = run(folder, PROGRAM)
    assert answer == '22'
    assert loaders == ['SourceFileLoader', '_ArchiveLoader']


# Guards against an archive that is never used because the copy of the program
# to an instance dropped parts of a second.
def test_times_are_compared_in_whole_seconds(folder):
    source = folder / 'library.py'
    os.utime(source, (0, int(source.stat().st_mtime)))
    assert run(folder, PROGRAM)[3:] == ['_ArchiveLoader', '_ArchiveLoader']


# Guards against modules of the folder of the build, where that still exists.
def test_moved_program_imports_its_own_modules(folder):
    moved = folder.with_name('moved')
    folder.rename(moved)
    installed, answer, path, *_ = run(moved, PROGRAM)
    assert (installed, answer) == ('True', '1')
    assert path == str(moved / 'package' / 'part.py')


def assert_imports_as_usual(folder):
    installed, answer, _, *loaders = run(folder, PROGRAM)
    assert (installed, answer) == ('False', '1')
    assert loaders == ['SourceFileLoader', 'SourceFileLoader']


# Guards against a start that fails where the build wrote no usable archive.
def test_program_starts_without_a_usable_archive(folder):
    archive = folder / 'target' / 'start-code'
    whole = archive.read_bytes()
    for unusable in (b'', b'start-code 0', whole[:30], whole[:-1]):
        archive.write_bytes(unusable)
        assert_imports_as_usual(folder)
    archive.unlink()
    assert_imports_as_usual(folder)
