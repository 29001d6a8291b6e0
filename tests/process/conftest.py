"""Fixtures for tests of a gateway process."""

import asyncio

import pytest
import pytest_asyncio
from support.configurations import endpoint_entry
from support.processes import kill, send_endpoint_list, start_process, until_ready

START_TIMEOUT_S = 30.0  # for a process to be ready


@pytest.fixture
def process_options():
    """Options for starting the process, which a test file may override."""
    return {}


@pytest_asyncio.fixture
async def process(config_path, port, endpoint, discovery_service, process_options):
    """A gateway process in service, whose watch at discovery stays open."""
    process = await start_process(config_path, **process_options)
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            await send_endpoint_list(discovery_service, endpoint_entry("w1", endpoint.port))
            await until_ready(port)
        yield process
    finally:
        await kill(process)
