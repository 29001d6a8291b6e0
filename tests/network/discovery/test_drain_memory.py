"""Tests of withdrawn endpoints in outdated snapshots."""

from support.addresses import HOST
from support.configurations import endpoint_entry, endpoint_list
from support.fake_discovery import FakeDiscovery
from support.http_messages import json_response


def states_by_id(received):
    """Return the state of each endpoint of a list."""
    return {entry.endpoint.id: entry.endpoint.state.value for entry in received.entries}


async def test_outdated_snapshot_from_another_address_does_not_make_a_draining_endpoint_ready(
    discovery_service, received_lists, watch
):
    """The service at the new address does not know yet that the endpoints have been withdrawn."""
    _, writer = await discovery_service.next_call()
    initial = [endpoint_entry(f"w{n}", 5001 + n) for n in range(4)]
    writer.write(json_response(endpoint_list(*initial, index=41)))
    await received_lists.get()
    _, writer = await discovery_service.next_call()
    change = [endpoint_entry("w0", 5001, "draining"), endpoint_entry("w1", 5002, "gone")]
    writer.write(json_response(endpoint_list(*change, index=42, snapshot=False)))
    await received_lists.get()
    async with FakeDiscovery() as new_discovery:
        watch.set_address((HOST, new_discovery.port))
        _, writer = await new_discovery.next_call()
        outdated = [
            endpoint_entry("w0", 5001),
            endpoint_entry("w1", 5002, since_ms=7),
            endpoint_entry("w2", 5003),
            endpoint_entry("w4", 5005),
        ]
        writer.write(json_response(endpoint_list(*outdated, index=40)))
        assert states_by_id(await received_lists.get()) == {
            "w0": "draining",
            "w1": "ready",
            "w2": "ready",
            "w4": "ready",
        }
        _, writer = await new_discovery.next_call()
        change = endpoint_list(endpoint_entry("w0", 5001), index=43, snapshot=False)
        writer.write(json_response(change))  # the endpoint has become ready again
        assert (await received_lists.get()).entries[0].endpoint.state.value == "ready"
