"""Tests of the table of endpoint records."""

from support.policy_events import SIX_ENDPOINTS, arrival, attempt_ended, new_controller, sends_in

from gateway.interface.events import AttemptResult, Endpoint, EndpointState, EndpointUpdate


def test_attempt_sent_before_an_endpoint_restarts_does_not_count_in_its_new_record():
    controller = new_controller()
    (send,) = sends_in(controller.handle(1000, [SIX_ENDPOINTS, arrival(1)]))
    entry = controller.directory.table.by_id[send.endpoint].entry
    restarted = Endpoint(entry.id, entry.zone, entry.cell, EndpointState.READY, 1.0, 1005.0)
    controller.handle(1010, [EndpointUpdate((restarted,), is_snapshot=False)])
    controller.handle(1020, [attempt_ended(send, AttemptResult.RESET)])
    assert controller.directory.table.by_id[send.endpoint].in_flight == 0
