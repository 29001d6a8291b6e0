"""Fixtures for tests of discovery."""

import asyncio

import pytest
import pytest_asyncio
from support.addresses import HOST

from gateway.network.discovery.watch import EndpointWatch


@pytest.fixture
def received_lists():
    """A queue of the endpoint lists that watches have reported."""
    return asyncio.Queue()


@pytest_asyncio.fixture
async def start_watch(received_lists):
    """A function that starts a watch and returns it; the watch is cancelled after the test.

    Its arguments are the port of the discovery service and, if an endpoint list is configured, its index.
    """
    tasks = []

    def start(port, *index):
        watch = EndpointWatch((HOST, port), received_lists.put_nowait, *index)
        tasks.append(asyncio.create_task(watch.run()))
        return watch

    yield start
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest_asyncio.fixture
async def watch(start_watch, discovery_service):
    """A running watch of the discovery service, without a configured endpoint list."""
    return start_watch(discovery_service.port)
