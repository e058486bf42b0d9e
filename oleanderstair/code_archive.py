"""Imports modules from one file that holds the byte code of all of a start.

A start loads some 400 modules. To find, check and read a file for each takes a
seventh of its processor time. The build writes their byte code into one file
(``platform/build_archive``). Without that file, or where a source has changed
since, modules are imported as usual.

Imported before everything else, so it imports little itself.
"""

import importlib.machinery
import importlib.util
import marshal
import os
import sys
import types
import typing

PATH: typing.Final = os.path.join('target', 'start-code')
"""The path of the archive in the folder of the program."""

ROOT: typing.Final = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
"""The folder of the program, which may be moved after the build."""

FORMAT: typing.Final = b'%b start-code 1 ' % importlib.util.MAGIC_NUMBER
"""Changes with the byte code of Python and with the layout of the archive: the
length of all that follows it, the length of the index, the index, and the code
of all modules."""

LENGTH_BYTES: typing.Final = 8
"""The size of each of the two lengths, with its lowest byte first."""


class Entry(typing.NamedTuple):
    """A module: its source, relative to ``ROOT`` if within, and its code.

    The size and the time of the last change tell whether the source is still
    the one that was compiled.
    """

    path: str
    is_package: bool
    size: int
    changed_s: int
    code_start: int
    code_end: int


class _ArchiveLoader(importlib.machinery.SourceFileLoader):
    """Loads a module as from its source file, but with archived code."""

    def __init__(self, name: str, path: str, code: memoryview) -> None:
        super().__init__(name, path)
        self._code = code

    def get_code(  # noqa: WPS615 (the name is given by importlib)
        self, fullname: str
    ) -> types.CodeType | None:
        return typing.cast(types.CodeType, marshal.loads(self._code))


class ArchiveFinder:
    """Finds the modules of an archive whose sources are unchanged."""

    def __init__(
        self, row_by_name: dict[str, tuple[typing.Any, ...]], code: memoryview
    ) -> None:
        """Find modules by rows of ``Entry``, with their code in ``code``."""
        self._row_by_name = row_by_name
        self._code = code

    def find_spec(
        self,
        name: str,
        path: object = None,
        target: object = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Return how to import a module, or None if it is to be searched."""
        row = self._row_by_name.get(name)
        if row is None:
            return None
        entry = Entry(*row)
        source = os.path.join(ROOT, entry.path)
        if not _is_unchanged(source, entry):
            return None
        code = self._code[entry.code_start : entry.code_end]
        locations = [os.path.dirname(source)] if entry.is_package else None
        return importlib.util.spec_from_file_location(
            name,
            source,
            loader=_ArchiveLoader(name, source, code),
            submodule_search_locations=locations,
        )


def install(path: str) -> ArchiveFinder | None:
    """Import from the archive at ``path`` from now on.

    Return None, and change nothing, if it is missing, incomplete, written for
    another Python, or from folders that are not searched for modules.
    """
    try:
        with open(path, 'rb') as archive:
            content = archive.read()
    except OSError:
        return None
    parts = _split(memoryview(content))
    if parts is None:
        return None
    index, code = parts
    folders, row_by_name = marshal.loads(index)
    searched = {os.path.abspath(folder) for folder in sys.path}
    if not searched.issuperset(
        os.path.abspath(os.path.join(ROOT, folder)) for folder in folders
    ):
        return None
    finder = ArchiveFinder(row_by_name, code)
    sys.meta_path.insert(0, typing.cast(typing.Any, finder))
    return finder


def uninstall(finder: ArchiveFinder | None) -> None:
    """Import as usual from now on, which frees the memory of the archive."""
    if finder is not None:
        sys.meta_path.remove(typing.cast(typing.Any, finder))


def _split(content: memoryview) -> tuple[memoryview, memoryview] | None:
    """Return the index and the code of all modules.

    Return None if the content is of another format or incomplete.
    """
    if content[: len(FORMAT)] != FORMAT:
        return None
    rest = content[len(FORMAT) :]
    length = _read_length(rest)
    rest = rest[LENGTH_BYTES:]
    if len(rest) != length:
        return None
    index_length = _read_length(rest)
    code_start = LENGTH_BYTES + index_length
    return rest[LENGTH_BYTES:code_start], rest[code_start:]


def _read_length(content: memoryview) -> int:
    return int.from_bytes(content[:LENGTH_BYTES], 'little')


def _is_unchanged(source: str, entry: Entry) -> bool:
    try:
        found = os.stat(source)
    except OSError:
        return False
    # Copies may keep whole seconds only; Python's own files compare these, too.
    return (found.st_size, int(found.st_mtime)) == (entry.size, entry.changed_s)
