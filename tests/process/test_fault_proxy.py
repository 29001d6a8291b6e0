"""Tests of the proxy of the fault injection, between a client and an endpoint."""

import contextlib

import pytest

from tools.fault_injection.client import RequestPlan, send_request
from tools.fault_injection.endpoint import Endpoint, EndpointBehavior
from tools.fault_injection.proxy import Proxy, ProxyFaults

ANSWER_BYTES = 20_000


async def send_through(faults, behavior):
    """Send a request through a proxy with these faults; return its outcome and its duration in seconds."""
    async with contextlib.AsyncExitStack() as stack:
        endpoint = await stack.enter_async_context(Endpoint())
        proxy = await stack.enter_async_context(Proxy(endpoint.port, faults))
        outcome = await send_request(proxy.port, RequestPlan("id", "reading", 2.0, behavior))
        return outcome, outcome.ended_s - outcome.started_s


@pytest.mark.parametrize(
    ("faults", "least_s"),
    [
        (ProxyFaults(), 0.0),
        (ProxyFaults(delay_s=0.3), 0.3),
        (ProxyFaults(answer_rate=100_000), 0.15),
        (ProxyFaults(request_rate=1000), 0.15),
    ],
)
async def test_proxy_delays_connections_and_limits_rates(faults, least_s):
    outcome, duration_s = await send_through(faults, EndpointBehavior(size=ANSWER_BYTES))
    assert outcome.status == 200 and outcome.is_complete and not outcome.is_foreign
    assert duration_s >= least_s


async def test_proxy_resets_connections():
    outcome, _ = await send_through(ProxyFaults(reset_after_s=0.1), EndpointBehavior(work=1.0))
    assert outcome.first_byte_s is None
