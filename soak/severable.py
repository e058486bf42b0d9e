"""The daemon of an instance whose open connections a signal lets go silent.

At SIGUSR1 those to peers, to targets and to the store fall silent for good;
those of callers and of the platform's questions live on.
"""

import random
import signal
import sys
import types
import typing

from oleanderstair import logs
from oleanderstair.platform import daemon
from soak import silencing

_SHARE: typing.Final = 0.7


def main() -> None:
    """Run the daemon; the arguments are the ports whose connections live on."""
    spared = {int(port) for port in sys.argv[1:]}

    def is_affected(own_port: int, peer_port: int) -> bool:
        return own_port not in spared and random.random() < _SHARE

    def sever(number: int, frame: types.FrameType | None) -> None:
        count = silencing.silence_connections(is_affected)
        logs.log_event('severed', connections=count)

    signal.signal(signal.SIGUSR1, sever)
    daemon.main()


if __name__ == '__main__':
    main()
