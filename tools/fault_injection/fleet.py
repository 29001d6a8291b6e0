"""Endpoints, discovery and a gateway process that belong together."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import time
from collections.abc import AsyncIterator, Iterable

from tools.fault_injection.client import Outcome, RequestPlan, send_request
from tools.fault_injection.discovery import Discovery
from tools.fault_injection.endpoint import Endpoint, Execution
from tools.fault_injection.gateway_process import GatewayPlan, GatewayProcess
from tools.fault_injection.rules import Break, check

ENDPOINT_COUNT = 4


class Fleet:
    """A gateway process, the endpoints behind it, and the discovery that lists them."""

    def __init__(
        self, gateway: GatewayProcess, endpoints: list[Endpoint], discovery: Discovery, folder: pathlib.Path
    ) -> None:
        """Use processes and servers that run already; see `run_fleet`."""
        self.gateway = gateway
        self.endpoints = endpoints
        self._discovery = discovery
        self._folder = folder

    @property
    def executions(self) -> list[Execution]:
        """All requests that the endpoints received completely."""
        return [execution for endpoint in self.endpoints for execution in endpoint.executions]

    def successor(self) -> GatewayProcess:
        """Return a process, not started yet, that takes over from the gateway."""
        return GatewayProcess(self.gateway.plan, self._folder, self._discovery.address, self.gateway.port)

    def execution_count(self, request_id: str) -> int:
        """Return how often the endpoints executed a request."""
        return sum(execution.request_id == request_id for execution in self.executions)

    async def send(self, plans: Iterable[RequestPlan], interval_s: float = 0.0) -> list[Outcome]:
        """Send each request on its own connection, one each `interval_s`; return what became of them."""
        started_s = time.monotonic()
        tasks = []
        for number, plan in enumerate(plans):
            await asyncio.sleep(max(0.0, started_s + number * interval_s - time.monotonic()))
            tasks.append(asyncio.create_task(send_request(self.gateway.port, plan)))
        return await asyncio.gather(*tasks)

    def check(self, outcomes: Iterable[Outcome]) -> list[Break]:
        """Return the rules that these requests broke."""
        return check(outcomes, self.executions)


@contextlib.asynccontextmanager
async def run_fleet(
    folder: pathlib.Path,
    plan: GatewayPlan | None = None,
    *,
    endpoint_count: int = ENDPOINT_COUNT,
    send_buffer: int = 0,
    receive_buffer: int = 0,
) -> AsyncIterator[Fleet]:
    """Run a fleet whose processes keep their files in `folder`.

    Args:
        folder: An empty folder.
        plan: The configuration of the gateway; by default a small one.
        endpoint_count: The number of endpoints.
        send_buffer: The send buffers of the endpoints' connections in bytes, 0 for the system's default.
        receive_buffer: The receive buffers of the endpoints' connections in bytes, 0 for the default.
    """
    async with contextlib.AsyncExitStack() as stack:
        endpoints = [
            Endpoint(send_buffer=send_buffer, receive_buffer=receive_buffer) for _ in range(endpoint_count)
        ]
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint)
        discovery = Discovery([endpoint.address for endpoint in endpoints])
        await stack.enter_async_context(discovery)
        gateway = GatewayProcess(plan or GatewayPlan(), folder, discovery.address)
        await stack.enter_async_context(gateway)
        yield Fleet(gateway, endpoints, discovery, folder)
