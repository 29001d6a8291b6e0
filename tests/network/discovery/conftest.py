"""Fixtures for tests of discovery."""

import asyncio

import pytest
import pytest_asyncio
from support.addresses import HOST

from gateway.network.discovery.watch import EndpointWatch


@pytest.fixture
def received_lists():
    """A queue of the endpoint lists that discovery has reported."""
    return asyncio.Queue()


@pytest_asyncio.fixture
async def start_discovery(received_lists):
    """A function that starts the gateway's side of discovery, which stops after the test.

    It takes the discovery service's port and, where a list is configured, that list's index.
    """
    tasks = []

    def start(port, *index):
        discovery = EndpointWatch((HOST, port), received_lists.put_nowait, *index)
        tasks.append(asyncio.create_task(discovery.run()))
        return discovery

    yield start
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest_asyncio.fixture
async def discovery(start_discovery, discovery_service):
    """The gateway's side of discovery, running without a configured list."""
    return start_discovery(discovery_service.port)
