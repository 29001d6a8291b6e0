"""Settings of the test run that hold for every folder."""

import inspect

import pytest
import uvloop

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
