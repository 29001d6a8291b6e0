"""Tests of a request body, and of the endpoint that it is sent to."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.network.clients import upload as uploads


class FakeConnection:
    """A client's or an endpoint's connection, as an upload uses it."""

    def __init__(self, disconnected=False):
        self.is_body_released = False
        self.disconnected = disconnected
        self.blocked = False
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
def test_complete_body_is_sent_to_one_endpoint_only(length, written):
    client = FakeConnection()
    endpoint = FakeConnection()
    upload = uploads.Upload(client, length, b"")
    upload.feed(b"body")
    upload.end()
    assert upload.may_send()
    upload.start_forwarding(endpoint, b"head\r\n\r\n")
    assert endpoint.written == written and client.is_body_released and not upload.may_send()


@given(st.lists(st.binary(min_size=1, max_size=100), max_size=10))
@settings(deadline=None)
def test_body_is_sent_unchanged_in_whatever_pieces_it_arrives(pieces):
    body = b"".join(pieces)
    endpoint = FakeConnection()
    upload = uploads.Upload(FakeConnection(), len(body), b"")
    for piece in pieces:
        upload.feed(piece)
    upload.end()
    upload.start_forwarding(endpoint, b"head\r\n\r\n")
    assert endpoint.written == b"head\r\n\r\n" + body


def test_body_of_a_disconnected_client_is_sent_to_no_endpoint():
    client = FakeConnection(disconnected=True)
    assert not uploads.Upload(client, 4, b"body").may_send()
