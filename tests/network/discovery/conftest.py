"""Fixtures for tests of discovery."""

import asyncio

import pytest_asyncio
from support.fakes import HOST, FakeDiscovery

from gateway.network.discovery.watch import Discovery


@pytest_asyncio.fixture
async def discovery_service():
    """A discovery service whose calls the test answers."""
    async with FakeDiscovery() as service:
        yield service


@pytest_asyncio.fixture
async def received_lists():
    """A queue of the endpoint lists that discovery has reported."""
    return asyncio.Queue()


@pytest_asyncio.fixture
async def discovery(discovery_service, received_lists):
    """The gateway's side of discovery, running."""
    discovery = Discovery((HOST, discovery_service.port), received_lists.put_nowait)
    task = asyncio.get_running_loop().create_task(discovery.run())
    yield discovery
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
