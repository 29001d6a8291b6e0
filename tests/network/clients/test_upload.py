"""Tests of large request bodies that are forwarded to an endpoint."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.network.clients import upload as uploads


class FakeConnection:
    """A fake client or endpoint connection; records what an upload writes and reports."""

    def __init__(self, disconnected=False):
        self.is_body_released = False
        self.disconnected = disconnected
        self.is_blocked = False
        self.written = b""

    def on_body_released(self):
        self.is_body_released = True

    def is_disconnected(self):
        return self.disconnected

    def write_last(self, data):
        self.written += data


@pytest.mark.parametrize(
    ("length", "written"), [(4, b"head\r\n\r\nbody"), (None, b"head\r\n\r\n4\r\nbody\r\n0\r\n\r\n")]
)
def test_complete_body_is_written_and_may_not_be_sent_again(length, written):
    client = FakeConnection()
    endpoint = FakeConnection()
    upload = uploads.Upload(client, length, b"")
    upload.add_part(b"body")
    upload.finish()
    assert upload.may_send()
    upload.start_forwarding(endpoint, b"head\r\n\r\n")
    assert endpoint.written == written and client.is_body_released and not upload.may_send()


@given(st.lists(st.binary(min_size=1, max_size=100), max_size=10))
@settings(deadline=None)
def test_body_is_forwarded_unchanged_for_any_sizes_of_its_parts(parts):
    body = b"".join(parts)
    endpoint = FakeConnection()
    upload = uploads.Upload(FakeConnection(), len(body), b"")
    for part in parts:
        upload.add_part(part)
    upload.finish()
    upload.start_forwarding(endpoint, b"head\r\n\r\n")
    assert endpoint.written == b"head\r\n\r\n" + body


def test_body_of_a_disconnected_client_may_not_be_sent():
    client = FakeConnection(disconnected=True)
    assert not uploads.Upload(client, 4, b"body").may_send()
