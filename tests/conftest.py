"""Settings of the test run, and fixtures that several folders use."""

import asyncio
import functools
import inspect
import json

import pytest
import pytest_asyncio
import uvloop
from support.configurations import configuration
from support.fake_discovery import FakeDiscovery
from support.fake_endpoint import FakeEndpoint
from support.processes import free_port

ASYNC_TEST_TIMEOUT_S = 30.0  # a test on the event loop takes longer only if it hangs


def pytest_asyncio_loop_factories():
    """Run async tests on the event loop that the gateway uses."""
    return {"uvloop": uvloop.new_event_loop}


def with_timeout(test):
    """Return the async test, cancelled where it takes longer than the timeout."""

    @functools.wraps(test)
    async def run(**arguments):
        async with asyncio.timeout(ASYNC_TEST_TIMEOUT_S):
            await test(**arguments)

    return run


def pytest_collection_modifyitems(items):
    """Give each async test a timeout."""
    for item in items:
        if inspect.iscoroutinefunction(getattr(item, "obj", None)):
            item.obj = with_timeout(item.obj)


@pytest_asyncio.fixture
async def endpoint():
    """An endpoint, which gateways know as w1."""
    async with FakeEndpoint() as endpoint:
        yield endpoint


@pytest_asyncio.fixture
async def discovery_service():
    """A discovery service whose calls the test answers."""
    async with FakeDiscovery() as service:
        yield service


@pytest.fixture
def port():
    """The port on which a gateway process accepts clients."""
    return free_port()


@pytest.fixture
def config_path(tmp_path, port, discovery_service):
    """The configuration file of a gateway process."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration(discovery_service.port, port)))
    return path
