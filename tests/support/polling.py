"""Waiting for a condition that has no event of its own."""

import asyncio

POLL_INTERVAL_S = 0.001


async def wait_until(condition):
    """Return once the condition holds."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)
