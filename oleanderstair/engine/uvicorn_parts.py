"""Imports the parts of uvicorn that serve, without its command line.

The package imports its command line and its process manager, and its server
and configuration import modules for features that no listener uses. Together
they take a sixth of the processor time of a start.
"""

import importlib
import importlib.util
import sys
import types
import typing

_PACKAGE: typing.Final = 'uvicorn'
_UNUSED_NAMES_BY_MODULE: typing.Final = types.MappingProxyType(
    {
        # Files that configure logging: ``log_config`` is None.
        'configparser': ('RawConfigParser',),
        'logging.config': (),
        # The date of responses: ``date_header`` is False.
        'email.utils': ('formatdate',),
    },
)
"""The standard modules that uvicorn imports for features that are switched off
in ``listener``, with the names that it imports from them."""


class _UnusedFeature:
    """Stands for a class or function of a feature that is switched off."""

    def __init__(self, *parameters: object, **options: object) -> None:
        raise NotImplementedError('not imported; see uvicorn_parts')


def import_part(name: str) -> typing.Any:
    """Return the module ``name`` of uvicorn."""
    if _PACKAGE not in sys.modules:
        _import_package()
    return _import_without_unused(name)


def _import_package() -> None:
    """Import the package without running its code.

    Its modules import its configuration from it.
    """
    package = _create_package()
    sys.modules[_PACKAGE] = package
    configuration = _import_without_unused(f'{_PACKAGE}.config')
    package.Config = configuration.Config  # type: ignore[attr-defined]


def _import_without_unused(name: str) -> typing.Any:
    """Import a module with placeholders for the modules that it does not use.

    Other importers of these get them as they are.
    """
    placeholder_by_name = {
        unused: _create_placeholder(unused)
        for unused in _UNUSED_NAMES_BY_MODULE
        if unused not in sys.modules
    }
    sys.modules.update(placeholder_by_name)
    try:
        return importlib.import_module(name)
    finally:
        for unused in placeholder_by_name:
            sys.modules.pop(unused)


def _create_package() -> types.ModuleType:
    """Return the package without having run its code."""
    spec = importlib.util.find_spec(_PACKAGE)
    if spec is None:
        raise ModuleNotFoundError(_PACKAGE, name=_PACKAGE)
    return importlib.util.module_from_spec(spec)


def _create_placeholder(name: str) -> types.ModuleType:
    placeholder = types.ModuleType(name)
    for unused in _UNUSED_NAMES_BY_MODULE[name]:
        setattr(placeholder, unused, _UnusedFeature)
    return placeholder
