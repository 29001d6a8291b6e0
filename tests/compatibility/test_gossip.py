"""Tests that compare the bytes of gossip datagrams with recordings."""

from support.recordings import check_json_recording, check_recording

from gateway.gossip import codec

# The fields of one quota entry of each kind; the kind comes first.
ENTRY_FIELDS = [
    (kind, 0xDEADBEEF - kind, 77 * kind, 1.25 * kind, 3.5, kind % 3, kind % 4) for kind in range(1, 8)
]


def test_datagrams_with_each_kind_of_entry_match_the_recording():
    recorded = {}
    for fields in ENTRY_FIELDS:
        kind = codec.EntryKind(fields[0])
        data = codec.encode(513, 2.5, [codec.QuotaEntry(kind, *fields[1:])], [])
        recorded[str(fields[0])] = data.hex()
        decoded = codec.decode(data)
        assert (
            tuple(decoded.entries[0]) == fields
            and decoded.incarnation == 513
            and decoded.target_concurrency == 2.5
        )
    check_json_recording("datagrams.json", recorded)


def test_datagrams_up_to_the_maximum_size_match_the_recordings():
    entries = [
        codec.QuotaEntry(
            codec.EntryKind(1 + n % 7), n * 0x1234567 & 0xFFFFFFFF, n, n / 16, n / 8, n % 16, n % 16
        )
        for n in range(30)
    ]
    ratios = (0.01, 0.5, 1.0, 2.0, 7.0, 99.0, float("inf"))
    observations = [codec.observation_of(f"10.0.0.{n}:80", n, ratio) for n, ratio in enumerate(ratios)]
    check_recording("datagram-full.bin", codec.encode(70_000, 1e9, entries, observations))
    check_recording(
        "datagram-reports.bin",
        b"".join(codec.encode(1, 0.0, [], [observation]) for observation in observations),
    )
