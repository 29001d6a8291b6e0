"""Tests of clients: upload."""

import pytest

from gateway.network.clients import upload as bodies


class Ends:
    """A client and a worker's connection, as an upload sees them."""

    def __init__(self):
        self.is_body_released, self.gone, self.blocked, self.text = False, False, False, b""

    def on_body_released(self):
        self.is_body_released = True

    def is_disconnected(self):
        return self.gone

    def write_last(self, data):
        self.text += data


@pytest.mark.parametrize(
    ("length", "text"), [(4, b"head\r\n\r\nbody"), (None, b"head\r\n\r\n4\r\nbody\r\n0\r\n\r\n")]
)
def test_complete_body_is_sent_to_one_endpoint_only(length, text):
    """It was not said to be gone: a further attempt went out with its head and nothing of its body."""
    client, sink = Ends(), Ends()
    body = bodies.Upload(client, length, b"")
    body.feed(b"body")
    body.end()
    assert body.may_send()
    body.attach(sink, b"head\r\n\r\n")
    assert sink.text == text and client.is_body_released and not body.may_send()


def test_body_of_a_disconnected_client_is_sent_to_no_endpoint():
    client = Ends()
    client.gone = True
    assert not bodies.Upload(client, 4, b"body").may_send()
