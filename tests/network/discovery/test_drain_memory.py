"""Tests of draining endpoints in lists from another address."""

from support.addresses import HOST
from support.configurations import endpoint_entry, endpoint_list
from support.fake_discovery import FakeDiscovery
from support.http_messages import json_response


def states(received):
    return {entry.endpoint.id: entry.endpoint.state.value for entry in received.entries}


async def test_older_list_from_another_address_does_not_revive_a_draining_endpoint(
    discovery_service, received_lists, watch
):
    """The service at a new address may be behind, and does not know of the change yet."""
    _, writer = await discovery_service.next_call()
    four = [endpoint_entry(f"w{n}", 5001 + n) for n in range(4)]
    writer.write(json_response(endpoint_list(*four, index=41)))
    await received_lists.get()
    _, writer = await discovery_service.next_call()
    change = [endpoint_entry("w0", 5001, "draining"), endpoint_entry("w1", 5002, "gone")]
    writer.write(json_response(endpoint_list(*change, index=42, snapshot=False)))
    await received_lists.get()
    async with FakeDiscovery() as new:
        watch.set_address((HOST, new.port))
        _, writer = await new.next_call()
        old = [
            endpoint_entry("w0", 5001),
            endpoint_entry("w1", 5002, since_ms=7),
            endpoint_entry("w2", 5003),
            endpoint_entry("w4", 5005),
        ]
        writer.write(json_response(endpoint_list(*old, index=40)))
        assert states(await received_lists.get()) == {
            "w0": "draining",
            "w1": "ready",
            "w2": "ready",
            "w4": "ready",
        }
        _, writer = await new.next_call()
        change = endpoint_list(endpoint_entry("w0", 5001), index=43, snapshot=False)
        writer.write(json_response(change))  # the endpoint is ready again
        assert (await received_lists.get()).entries[0].endpoint.state.value == "ready"
