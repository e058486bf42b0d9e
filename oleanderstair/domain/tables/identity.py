"""Who this instance is."""

import typing


class Identity(typing.NamedTuple):
    """The name and place of this instance for the life of the process.

    ``capacity`` is how many calls a second it can carry beside others.
    """

    instance_id: str
    incarnation: str
    region: str
    data_centre: str
    caller_address: str
    peer_address: str
    capacity: int = 1
