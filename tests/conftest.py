"""Settings of the test run, and fixtures that several folders use."""

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


@pytest.fixture(scope="session")
def event_loop_policy():
    """Run async tests on the event loop that the gateway uses."""
    return uvloop.EventLoopPolicy()


def pytest_collection_modifyitems(items):
    """Give each async test a timeout."""
    for item in items:
        if inspect.iscoroutinefunction(getattr(item, "function", None)):
            item.add_marker(pytest.mark.timeout(ASYNC_TEST_TIMEOUT_S, func_only=True))


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
