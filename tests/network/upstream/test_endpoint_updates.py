"""Tests of upstream: endpoint updates."""

import pytest
from support.fakes import entry, listing, request
from support.gateway_scenarios import exchange, hold_dials

from gateway.config import endpoint_list_from
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    EndpointState,
    EndpointUpdate,
)


async def test_new_endpoint_at_the_same_address_replaces_the_old_one(endpoint, gate, client):
    """Else what is sent under the old name comes to the new process, on connections of the old one."""
    await exchange(endpoint, client)
    await gate.script.event(EndpointUpdate)
    news = listing(entry("w2", endpoint.port, since_ms=5000), index=2, snapshot=False)
    gate.gateway.on_endpoint_list(endpoint_list_from(news, "list"))
    fleet = await gate.script.event(EndpointUpdate)
    assert [(one.id, one.state) for one in fleet.endpoints] == [
        ("w2", EndpointState.READY),
        ("w1", EndpointState.REMOVED),
    ]
    assert (await endpoint.asked())[0] is None and list(gate.gateway.upstreams._known) == ["w2"]
    assert (await client.send(request()).answer())[0] == 502  # the script still names w1


@pytest.mark.parametrize("change", [{"status": "draining"}, {"status": "gone"}, {"since_ms": 1000}])
async def test_draining_or_restarted_endpoint_loses_its_idle_connections(change, endpoint, gate, client):
    await exchange(endpoint, client)
    news = listing(entry("w1", endpoint.port, **change), index=2, snapshot=False)
    gate.gateway.on_endpoint_list(endpoint_list_from(news, "list"))
    assert (await endpoint.asked())[0] is None


async def test_endpoint_missing_from_a_snapshot_gets_no_attempt(endpoint, gate, client):
    await exchange(endpoint, client)
    gate.gateway.on_endpoint_list(endpoint_list_from(listing(index=2), "list"))
    assert (await endpoint.asked())[0] is None
    assert (await client.send(request()).answer())[0] == 502
    fleets = [await gate.script.event(EndpointUpdate) for _ in range(2)]
    assert fleets[1] == EndpointUpdate((), is_snapshot=True)


async def test_attempt_waiting_for_a_connection_is_not_written_to_a_draining_endpoint(endpoint, gate, client):
    opened, go = hold_dials(gate)
    client.send(request())
    await opened.wait()
    news = listing(entry("w1", endpoint.port, "draining"), index=2, snapshot=False)
    gate.gateway.on_endpoint_list(endpoint_list_from(news, "list"))
    go.set()
    assert (await client.answer())[0] == 502
    assert (await gate.script.event(AttemptEnded)).result is AttemptResult.CONNECT_FAILED
    assert endpoint.requests.empty() and gate.gateway.upstreams._connections == 0
