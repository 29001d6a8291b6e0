"""Fixtures for tests of a gateway process."""

import asyncio

import pytest
import pytest_asyncio
from support.configurations import endpoint_entry
from support.processes import kill_process, send_endpoint_list, start_process, wait_until_ready

START_TIMEOUT_S = 30.0  # from the start of a process to its readiness


@pytest.fixture
def process_options():
    """Options of `start_process` for the fixture `process`; a test module may override them."""
    return {}


@pytest_asyncio.fixture
async def process(config_path, port, endpoint, discovery_service, process_options):
    """A gateway process that is ready, has one endpoint, and has an open watch at discovery."""
    process = await start_process(config_path, **process_options)
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            await send_endpoint_list(discovery_service, endpoint_entry("w1", endpoint.port))
            await wait_until_ready(port)
        yield process
    finally:
        await kill_process(process)
