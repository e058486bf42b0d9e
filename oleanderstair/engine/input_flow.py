"""Keeps a connection from being read while its requests wait."""

import asyncio
import typing

from oleanderstair.engine import uvicorn_parts

if typing.TYPE_CHECKING:
    from uvicorn.protocols.http import flow_control
else:
    flow_control = uvicorn_parts.import_part(
        'uvicorn.protocols.http.flow_control'
    )

MayRead: typing.TypeAlias = typing.Callable[[], bool]
"""Return whether the connection may be read."""


class InputFlow(flow_control.FlowControl):
    """Flow control that resumes reading only where that is allowed.

    Uvicorn resumes it after each answer, and for each part of a body.
    """

    def __init__(self, transport: asyncio.Transport, may_read: MayRead) -> None:
        """Control ``transport``; ``may_read`` is asked before each resume."""
        super().__init__(transport)
        self._may_read = may_read

    def resume_reading(self) -> None:
        """Read on if that is allowed."""
        if self._may_read():
            super().resume_reading()


def create(transport: asyncio.Transport, may_read: MayRead) -> InputFlow:
    """Create the flow control of a connection."""
    return InputFlow(transport, may_read)
