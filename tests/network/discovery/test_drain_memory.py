"""Tests of discovery: drain memory."""

from support.fakes import HOST, FakeDiscovery, entry, listing, told


async def test_older_list_from_another_address_does_not_revive_a_draining_endpoint(
    discovery_service, received_lists, discovery
):
    """After SIGHUP the new address may be behind. What a list does not say yet is not taken back by it."""
    _, writer = await discovery_service.called()
    writer.write(told(listing(*(entry(f"w{n}", 5001 + n) for n in range(4)), index=41)))
    await received_lists.get()
    _, writer = await discovery_service.called()
    writer.write(
        told(listing(entry("w0", 5001, "draining"), entry("w1", 5002, "gone"), index=42, snapshot=False))
    )
    await received_lists.get()
    async with FakeDiscovery() as new:
        discovery.move((HOST, new.port))
        _, writer = await new.called()
        old = [entry("w0", 5001), entry("w1", 5002, since_ms=7), entry("w2", 5003), entry("w4", 5005)]
        writer.write(told(listing(*old, index=40)))
        states = {one.endpoint.id: one.endpoint.state.value for one in (await received_lists.get()).entries}
        assert states == {"w0": "draining", "w1": "ready", "w2": "ready", "w4": "ready"}
        _, writer = await new.called()
        writer.write(told(listing(entry("w0", 5001), index=43, snapshot=False)))  # it drains no more
        assert (await received_lists.get()).entries[0].endpoint.state.value == "ready"
