"""Tests of endpoints: endpoint table."""

from support.policy_scenarios import SIX_ENDPOINTS, ask, gateway, of, outcome

from gateway.interface.actions import (
    SendAttempt,
)
from gateway.interface.events import (
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointUpdate,
)


def test_restarted_endpoint_keeps_its_attempts_in_flight():
    c = gateway()
    (send,) = of(SendAttempt, c.handle(1000, [SIX_ENDPOINTS, ask(1)]))
    old = c.directory.table.by_id[send.endpoint].entry
    back = Endpoint(old.id, old.zone, old.cell, EndpointState.READY, 1.0, 1005.0)
    c.handle(1010, [EndpointUpdate((back,), is_snapshot=False)])
    c.handle(1020, [outcome(send, AttemptResult.RESET)])
    assert c.directory.table.by_id[send.endpoint].in_flight == 0
