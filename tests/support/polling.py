"""A wait for conditions whose change no event announces."""

import asyncio

POLL_INTERVAL_S = 0.001


async def wait_until(condition):
    """Call `condition` every POLL_INTERVAL_S, and return when it returns true."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)
