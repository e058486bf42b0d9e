"""A request crashes each server that runs it, and comes again and again.

A crashed server's connections are closed, as the kernel does with those of a
process that has read all its input.
"""

import asyncio

from stand_ins import crashing

INSTANCE_COUNT = 4
SEND_INTERVAL_S = 1
SENDING_S = 20


async def case(deployed, has_trouble):
    """Return whether no more than three late retries reached servers."""
    play = crashing.Play(deployed, crashes=has_trouble, resets=False)
    await play.start(INSTANCE_COUNT)
    play.run(play.keep_sending(SEND_INTERVAL_S))
    await asyncio.sleep(SENDING_S)
    return await play.finish()


if __name__ == '__main__':
    crashing.deployment.run_case(case)
