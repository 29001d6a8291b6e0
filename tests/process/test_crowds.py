"""Tests that crowds of clients neither exceed the memory limit nor keep others from their answers."""

import asyncio
import contextlib
import time

import pytest

from tools.fault_injection.client import RequestPlan, send_request
from tools.fault_injection.crowd import run_crowd
from tools.fault_injection.endpoint import EndpointBehavior
from tools.fault_injection.fleet import run_fleet
from tools.fault_injection.gateway_process import GatewayPlan
from tools.fault_injection.stream import Stream

CROWD_DURATION_S = 4.0
GOOD_REQUESTS = 40
FLOOD_CONNECTIONS = 8
FLOOD_DURATION_S = 6.0


def small_requests(count):
    """Return requests of one customer without a body."""
    return [
        RequestPlan(f"good-{number}", "reading", 2.0, EndpointBehavior(work=0.02)) for number in range(count)
    ]


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "crowd"), [(32, 1024, 460), (32, 256, 300), (64, 512, 400)]
)
async def test_crowd_stays_within_the_resident_memory_and_others_get_answers(
    memory_mb, descriptors, crowd, tmp_path
):
    """Guards against a process that exceeds its limit although its anonymous memory does not."""
    async with run_fleet(tmp_path, GatewayPlan(memory_mb, descriptors)) as fleet:
        occupation = asyncio.create_task(run_crowd(fleet.gateway.port, crowd, CROWD_DURATION_S))
        outcomes = await fleet.send(small_requests(GOOD_REQUESTS), interval_s=0.08)
        await occupation
        answered = [outcome for outcome in outcomes if outcome.first_byte_s is not None]
        assert not fleet.check(answered)
        # A connection beyond the descriptors may be shut unread; its request is not lost.
        assert len(answered) >= GOOD_REQUESTS * 3 / 4
        assert {outcome.status for outcome in answered} <= {200, 503}
        assert fleet.gateway.exit_code is None
        assert fleet.gateway.memory_mb("VmHWM") < memory_mb


async def flood_with_new_names(port, first_customer, until_s):
    """Send requests of a new customer each on one connection, and return their number."""
    stream = await Stream.connect(port)
    number = 0
    while time.monotonic() < until_s:
        number += 1
        plan = RequestPlan(
            f"flood-{first_customer + number}", "reading", 2.0, customer=first_customer + number
        )
        outcome = await send_request(port, plan, stream)
        if not outcome.is_complete:
            stream = await Stream.connect(port)
    stream.close()
    return number


async def test_ever_new_customers_do_not_grow_the_memory_and_others_are_served(tmp_path):
    """Guards against accounts, buckets and ids that are kept without regard to the memory limit."""
    plan = GatewayPlan(32, 256, quota_per_s=4.0, plan_fields=(("storeSize", 40.0),))
    async with run_fleet(tmp_path, plan) as fleet:
        port = fleet.gateway.port
        until_s = time.monotonic() + FLOOD_DURATION_S
        floods = [
            asyncio.create_task(flood_with_new_names(port, 1_000_000 * (number + 1), until_s))
            for number in range(FLOOD_CONNECTIONS)
        ]
        outcomes = await fleet.send(small_requests(10), interval_s=0.4)
        sent = sum(await asyncio.gather(*floods))
        metrics = await fleet.gateway.metrics()
        assert sent > 1000
        assert not fleet.check(outcomes)
        assert [outcome.status for outcome in outcomes].count(200) >= 8
        assert metrics['edge_balancer_held{what="customers"}'] <= 1000
        assert fleet.gateway.memory_mb("VmHWM") < plan.memory_mb


async def test_clients_within_their_third_of_the_descriptors_may_write_late(tmp_path):
    """Guards against closing new connections before their first byte although descriptors are left."""
    plans = small_requests(85)  # a third of 256 descriptors
    async with run_fleet(tmp_path, GatewayPlan(64, 256)) as fleet:
        streams = [await Stream.connect(fleet.gateway.port) for _ in plans]
        await asyncio.sleep(1.5)
        pairs = zip(plans, streams, strict=True)
        outcomes = await asyncio.gather(
            *(send_request(fleet.gateway.port, plan, stream) for plan, stream in pairs)
        )
        assert not fleet.check(outcomes)


def flood_blocks():
    """Return what a client may write at full speed on one connection, by a name of the flood."""
    head = (
        RequestPlan("flood", "correction", 5.0, body_bytes=10, is_chunked=True).encode().split(b"\r\n\r\n")[0]
    )
    return {
        "bad heads": b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n" * 200,
        "noise": b"what is this\r\n\r\n" * 400,
        "chunks of one byte": head + b"\r\n\r\n" + b"1\r\nx\r\n" * 8000,
        "pipelined": RequestPlan("flood", "reading", 5.0).encode() * 100,
    }


async def flood(port, block, until_s):
    """Write the block again and again, on a new connection whenever the gateway closes the last one."""
    while time.monotonic() < until_s:
        stream = await Stream.connect(port)
        reading = asyncio.create_task(read_all(stream))
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(max(0.0, until_s - time.monotonic())):
                while not reading.done():
                    await stream.write(block)
                    await asyncio.sleep(0)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
        stream.close()


async def read_all(stream):
    """Read and drop the input of a connection up to its end."""
    while await stream.read():
        pass


@pytest.mark.parametrize("kind", ["bad heads", "noise", "chunks of one byte", "pipelined"])
async def test_others_get_their_answers_in_time_beside_a_flood_on_one_connection(kind, tmp_path):
    async with run_fleet(tmp_path, GatewayPlan(32, 256)) as fleet:
        until_s = time.monotonic() + 2.5
        flooding = asyncio.create_task(flood(fleet.gateway.port, flood_blocks()[kind], until_s))
        outcomes = await fleet.send(small_requests(40), interval_s=0.05)
        await flooding
        assert not fleet.check(outcomes)
        assert all(outcome.status == 200 for outcome in outcomes)
        assert fleet.gateway.memory_mb("VmHWM") < 32
