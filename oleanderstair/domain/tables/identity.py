"""Who this instance is."""

import typing


class Identity(typing.NamedTuple):
    """The name and place of this instance for the life of the process."""

    instance_id: str
    incarnation: str
    region: str
    data_centre: str
    caller_address: str
    peer_address: str
