"""The identity of this instance."""

import typing


class Identity(typing.NamedTuple):
    """The name, location and addresses of this instance.

    They stay the same for the life of the process. ``capacity`` is the number
    of calls per second that the instance can handle.
    """

    instance_id: str
    incarnation: str
    region: str
    data_centre: str
    caller_address: str
    peer_address: str
    capacity: int = 1
