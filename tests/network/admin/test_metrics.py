"""Tests of the metrics in a running gateway."""

import asyncio

import pytest
from support.admin_calls import read_metrics
from support.configurations import endpoint_entry
from support.http_messages import http_request, http_response
from support.running_gateway import RunningGateway
from support.scripted_controller import ScriptedController

from gateway.interface.actions import Fail, Reject
from gateway.interface.events import RequestArrived


async def test_every_metric_is_present_from_the_start():
    async with RunningGateway(
        None, known=[endpoint_entry("w1", 9), endpoint_entry("w2", 9, "draining")]
    ) as running_gateway:
        await asyncio.sleep(0)
        metrics = await read_metrics(running_gateway)
        counts = {name: value for name, value in metrics.items() if name.startswith("operations_total")}
        assert len(counts) == 9 and not any(counts.values())
        assert 'operations_total{priority="book",status="throttled"}' in counts
        assert metrics["relayed_total"] == metrics["open_requests"] == 0
        assert (metrics["registry_entries"], metrics["out_of_rotation"]) == (2, 1)


class MixedController(ScriptedController):
    """Forwards, fails or rejects a request if its id modulo 3 is 0, 1 or 2."""

    def handle(self, now, events):
        refused = [event for event in events if isinstance(event, RequestArrived) and event.id % 3]
        actions = [Reject(event.id) if event.id % 3 == 2 else Fail(event.id) for event in refused]
        return actions + super().handle(
            now, [event for event in events if not isinstance(event, RequestArrived) or event.id % 3 == 0]
        )


def sum_with_label(metrics, label):
    """Return the sum of the metrics whose names contain this label."""
    return sum(value for name, value in metrics.items() if label in name)


@pytest.mark.scripted_controller(factory=MixedController)
async def test_each_request_is_counted_once_by_its_final_status(endpoint, running_gateway, client):
    for number in range(1, 31):
        client.send(http_request(path="/book/1", key="k") if number % 2 else http_request())
        if number % 3 == 0:
            _, writer = await endpoint.next_request()
            assert (await read_metrics(running_gateway))["open_requests"] == 1
            writer.write(http_response(200 if number % 9 else 500))
        await client.next_response()
    client.send(b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n")  # rejected as invalid, which no metric counts
    assert (await client.next_response()).status == 404
    metrics = await read_metrics(running_gateway)
    outcomes = ("fulfilled", "throttled", "faulted")
    totals = {outcome: sum_with_label(metrics, f'status="{outcome}"') for outcome in outcomes}
    assert totals == {"fulfilled": 7, "throttled": 10, "faulted": 13}
    assert sum_with_label(metrics, 'priority="book"') == 15
    assert metrics["relayed_total"] == 10 and metrics["open_requests"] == 0
