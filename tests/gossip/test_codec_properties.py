"""Property tests of the codec of datagrams."""

from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.gossip.codec import (
    INDEX_LIMIT,
    MAX_DATAGRAM_BYTES,
    MAX_ENTRIES,
    MAX_OBSERVATIONS,
    EndpointObservation,
    EntryKind,
    GossipMessage,
    QuotaEntry,
    decode,
    encode,
    latency_ratio_of,
    observation_of,
)

UINT16 = st.integers(0, 0xFFFF)
INDEXES = st.integers(0, INDEX_LIMIT - 1)
SIXTEENTHS = UINT16.map(lambda number: number / 16)
ENTRIES = st.builds(
    QuotaEntry,
    st.sampled_from(EntryKind),
    st.integers(0, 0xFFFFFFFF),
    UINT16,
    SIXTEENTHS,
    SIXTEENTHS,
    INDEXES,
    INDEXES,
)
OBSERVATIONS = st.builds(EndpointObservation, UINT16, INDEXES, st.integers(0, 15))
MESSAGES = st.builds(
    GossipMessage,
    UINT16,
    UINT16.map(lambda number: number / 64),
    st.lists(ENTRIES, max_size=MAX_ENTRIES).map(tuple),
    st.lists(OBSERVATIONS, max_size=MAX_OBSERVATIONS).map(tuple),
)


@settings(deadline=None, max_examples=100)
@given(MESSAGES)
def test_message_is_unchanged_by_encoding_and_decoding(message):
    data = encode(*message)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert decode(data) == message


@settings(deadline=None, max_examples=100)
@given(st.lists(ENTRIES, max_size=3 * MAX_ENTRIES), st.lists(OBSERVATIONS, max_size=3 * MAX_OBSERVATIONS))
def test_entries_and_observations_beyond_the_capacity_of_a_datagram_are_omitted(entries, observations):
    message = decode(encode(1, 0.0, entries, observations))
    assert message.entries == tuple(entries[:MAX_ENTRIES])
    assert message.observations == tuple(observations[:MAX_OBSERVATIONS])


@settings(deadline=None, max_examples=200)
@given(st.sampled_from([b"", b"\x02"]), st.binary(max_size=MAX_DATAGRAM_BYTES + 8))
def test_any_bytes_are_decoded_to_none_or_to_a_message_that_can_be_encoded(version, data):
    message = decode(version + data)
    if message is not None:
        entries = message.entries[:MAX_ENTRIES]
        observations = message.observations[:MAX_OBSERVATIONS]
        assert decode(encode(*message)) == message._replace(entries=entries, observations=observations)


@settings(deadline=None, max_examples=100)
@given(MESSAGES, st.data())
def test_datagram_truncated_within_its_entries_is_invalid(message, data):
    datagram = encode(*message)
    end_of_entries = len(datagram) - 3 * len(message.observations)
    length = data.draw(st.integers(0, end_of_entries - 1))
    assert decode(datagram[:length]) is None


@settings(deadline=None, max_examples=100)
@given(st.floats(0.25, 32.0))
def test_error_of_an_observed_latency_is_at_most_a_quarter_of_a_doubling(ratio):
    observed = latency_ratio_of(observation_of("endpoint", 0, ratio))
    assert 2**-0.2501 <= observed / ratio <= 2**0.2501
