"""Encodes a message to several peers only once."""

from oleanderstair.domain import messages
from oleanderstair.domain.fleet import codec


class FrameCache:
    """Caches the frame of the last encoded message."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._message: messages.Message | None = None
        self._frame = b''

    def encode(self, message: messages.Message) -> bytes:
        """Return the frame of a message.

        The frame is reused if the same object was encoded last.
        """
        if message is not self._message:
            self._frame = codec.encode(message)
            self._message = message
        return self._frame


def create() -> FrameCache:
    """Create an empty cache."""
    return FrameCache()
