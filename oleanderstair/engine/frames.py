"""Encodes what goes to many peers only once."""

from oleanderstair.domain import messages
from oleanderstair.domain.fleet import codec


class Frames:
    """The frame of the message that was encoded last."""

    def __init__(self) -> None:
        """Begin without a frame."""
        self._message: messages.Message | None = None
        self._frame = b''

    def frame_of(self, message: messages.Message) -> bytes:
        """Return the frame of a message; the same object is encoded once."""
        if message is not self._message:
            self._frame = codec.encode(message)
            self._message = message
        return self._frame


def create() -> Frames:
    """Create an encoder that holds no frame yet."""
    return Frames()
