"""Writes the archive of byte code of all modules that a start loads.

Run by the build: ``python3 -S -m oleanderstair.platform.build_archive``.
"""

import importlib
import importlib.machinery
import marshal
import os
import pathlib
import sys
import types
import typing

from oleanderstair import code_archive

LIBRARIES: typing.Final = os.path.join('target', 'deps')
"""Where the build installs the libraries, in the folder of the program."""

_STARTED_MODULES: typing.Final = (
    'oleanderstair.platform.program',
    'anyio._backends._asyncio',
)
"""The modules that a start imports, with all that these import."""


def main() -> None:
    """Import what a start imports, and write its code into the archive."""
    libraries = os.path.join(code_archive.ROOT, LIBRARIES)
    if os.path.isdir(libraries) and libraries not in sys.path:
        sys.path.insert(1, libraries)
    for name in _STARTED_MODULES:
        importlib.import_module(name)
    write(pathlib.Path(code_archive.ROOT, code_archive.PATH))


def write(path: pathlib.Path) -> None:
    """Write the code of all modules that are loaded."""
    row_by_name: dict[str, code_archive.Entry] = {}
    code = bytearray()
    for name, module in sorted(sys.modules.items()):
        loader = _source_loader_of(module)
        if loader is not None and name != '__main__':
            start = len(code)
            found = os.stat(loader.get_filename(name))
            code += marshal.dumps(loader.get_code(name))
            row_by_name[name] = code_archive.Entry(
                _relative(loader.get_filename(name)),
                loader.is_package(name),
                found.st_size,
                int(found.st_mtime),
                start,
                len(code),
            )
    path.parent.mkdir(exist_ok=True)
    written = path.with_suffix('.new')
    written.write_bytes(_encode(row_by_name, code))
    # A start never reads a part of the file.
    written.replace(path)


def _encode(
    row_by_name: dict[str, code_archive.Entry], code: bytearray
) -> bytes:
    folders = {
        _folder_of(entry)
        for name, entry in row_by_name.items()
        if '.' not in name
    }
    rows = {name: tuple(entry) for name, entry in row_by_name.items()}
    index = marshal.dumps((sorted(folders), rows))
    rest = b''.join((_encode_length(index), index, code))
    return b''.join((code_archive.FORMAT, _encode_length(rest), rest))


def _encode_length(content: bytes) -> bytes:
    return len(content).to_bytes(code_archive.LENGTH_BYTES, 'little')


def _source_loader_of(
    module: types.ModuleType,
) -> importlib.machinery.SourceFileLoader | None:
    loader = getattr(getattr(module, '__spec__', None), 'loader', None)
    if isinstance(loader, importlib.machinery.SourceFileLoader):
        return loader
    return None


def _folder_of(entry: code_archive.Entry) -> str:
    """Return the folder that was searched for a module without a parent."""
    folder = os.path.dirname(entry.path)
    return os.path.dirname(folder) if entry.is_package else folder


def _relative(source: str) -> str:
    prefix = os.path.join(code_archive.ROOT, '')
    return os.path.abspath(source).removeprefix(prefix)


if __name__ == '__main__':
    main()
