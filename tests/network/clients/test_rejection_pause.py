"""Tests of the pause after a rejected request, and of the time of a request that waits meanwhile."""

import pytest
from support.http_messages import http_request
from support.polling import wait_until

from gateway.interface.events import RequestArrived
from gateway.network.clients.connection_state import ConnectionState
from gateway.network.clients.rejection_pause import MAX_REJECTION_PAUSE_MS, MIN_REJECTION_PAUSE_MS
from gateway.network.request_table import DEADLINE_MARGIN_MS

BAD_REQUEST = b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n"
WAIT_MS = 4000


async def reject_requests(client, count):
    """Send bad requests one after another, so that the pause after the last one is long."""
    for _ in range(count):
        client.send(BAD_REQUEST)
        assert (await client.next_response()).status == 404


@pytest.mark.parametrize("rejections", [1, 4])
async def test_time_of_a_request_that_waits_during_the_pause_counts_from_its_begin(
    rejections, controller, gateway, client
):
    """Guards against a deadline that counts from the end of the gateway's own pause."""
    await reject_requests(client, rejections)
    answered_ms = gateway.clock.now()
    client.send(http_request(deadline=WAIT_MS))
    arrival = await controller.next_event(RequestArrived)
    pause_ms = min(MAX_REJECTION_PAUSE_MS, MIN_REJECTION_PAUSE_MS * 2 ** (rejections - 1))
    assert gateway.clock.now() - answered_ms >= pause_ms / 2  # the request has waited
    assert arrival.deadline_at_ms + DEADLINE_MARGIN_MS <= answered_ms + WAIT_MS


async def test_time_of_a_request_after_the_pause_counts_from_its_read(controller, gateway, client):
    await reject_requests(client, 1)
    (connection,) = gateway.connections.open_connections
    await wait_until(lambda: connection.state is ConnectionState.IDLE)
    sent_ms = gateway.clock.now()
    client.send(http_request(deadline=WAIT_MS))
    arrival = await controller.next_event(RequestArrived)
    assert arrival.deadline_at_ms + DEADLINE_MARGIN_MS >= sent_ms + WAIT_MS
