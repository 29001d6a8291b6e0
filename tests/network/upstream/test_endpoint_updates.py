"""Tests of the effect of endpoint list changes on connections and attempts."""

import pytest
from support.configurations import endpoint_entry, endpoint_list
from support.gateway_steps import complete_request, hold_connections
from support.http_messages import http_request

from gateway.config import endpoint_list_from
from gateway.interface.events import AttemptEnded, AttemptResult, EndpointState, EndpointUpdate


async def test_new_endpoint_at_the_same_address_replaces_the_old_one(endpoint, controller, gateway, client):
    await complete_request(endpoint, client)
    await controller.next_event(EndpointUpdate)
    change = endpoint_list(endpoint_entry("w2", endpoint.port, since_ms=5000), index=2, snapshot=False)
    gateway.on_endpoint_list(endpoint_list_from(change, "list"))
    update = await controller.next_event(EndpointUpdate)
    assert [(updated.id, updated.state) for updated in update.endpoints] == [
        ("w2", EndpointState.READY),
        ("w1", EndpointState.REMOVED),
    ]
    assert (await endpoint.next_request()).is_disconnect and list(gateway.upstreams.registry.endpoints) == [
        "w2"
    ]
    assert (await client.send(http_request()).next_response()).status == 502  # the controller sends to w1


@pytest.mark.parametrize("fields", [{"status": "draining"}, {"status": "gone"}, {"since_ms": 1000}])
async def test_draining_or_restarted_endpoint_loses_its_idle_connections(fields, endpoint, gateway, client):
    await complete_request(endpoint, client)
    change = endpoint_list(endpoint_entry("w1", endpoint.port, **fields), index=2, snapshot=False)
    gateway.on_endpoint_list(endpoint_list_from(change, "list"))
    assert (await endpoint.next_request()).is_disconnect


async def test_endpoint_missing_from_a_snapshot_gets_no_attempt(endpoint, controller, gateway, client):
    await complete_request(endpoint, client)
    gateway.on_endpoint_list(endpoint_list_from(endpoint_list(index=2), "list"))
    assert (await endpoint.next_request()).is_disconnect
    assert (await client.send(http_request()).next_response()).status == 502
    updates = [await controller.next_event(EndpointUpdate) for _ in range(2)]
    assert updates[1] == EndpointUpdate((), is_snapshot=True)


async def test_attempt_waiting_for_a_connection_is_not_written_to_a_draining_endpoint(
    endpoint, controller, gateway, client
):
    due, release = hold_connections(gateway)
    client.send(http_request())
    await due.wait()
    change = endpoint_list(endpoint_entry("w1", endpoint.port, "draining"), index=2, snapshot=False)
    gateway.on_endpoint_list(endpoint_list_from(change, "list"))
    release.set()
    assert (await client.next_response()).status == 502
    assert (await controller.next_event(AttemptEnded)).result is AttemptResult.CONNECT_FAILED
    assert endpoint.requests.empty() and gateway.upstreams._connection_count == 0
