"""Tests of compatibility: gossip."""

from support.recordings import check, check_json

from gateway.gossip import codec as messages

ITEMS = [(kind, 0xDEADBEEF - kind, 77 * kind, 1.25 * kind, 3.5, kind % 3, kind % 4) for kind in range(1, 8)]


def test_datagram_with_each_kind_of_entry():
    recorded = {}
    for fields in ITEMS:
        kind = messages.EntryKind(fields[0])
        data = messages.encode(513, 2.5, [messages.QuotaEntry(kind, *fields[1:])], [])
        recorded[str(fields[0])] = data.hex()
        decoded = messages.decode(data)
        assert (
            tuple(decoded.entries[0]) == fields
            and decoded.incarnation == 513
            and decoded.target_concurrency == 2.5
        )
    check_json("datagrams.json", recorded)


def test_datagram_at_its_maximum_size():
    items = [
        messages.QuotaEntry(
            messages.EntryKind(1 + n % 7), n * 0x1234567 & 0xFFFFFFFF, n, n / 16, n / 8, n % 16, n % 16
        )
        for n in range(30)
    ]
    ratios = (0.01, 0.5, 1.0, 2.0, 7.0, 99.0, float("inf"))
    sightings = [messages.observe(f"10.0.0.{n}:80", n, ratio) for n, ratio in enumerate(ratios)]
    check("datagram-full.bin", messages.encode(70_000, 1e9, items, sightings))
    check("datagram-reports.bin", b"".join(messages.encode(1, 0.0, [], [seen]) for seen in sightings))
