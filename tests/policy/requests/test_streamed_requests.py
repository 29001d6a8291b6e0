"""Tests of requests: streamed requests."""

from support.policy_scenarios import SIX_ENDPOINTS, gateway

from gateway.interface.actions import (
    Fail,
    Reject,
    SendAttempt,
)
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    BodyReleased,
    RequestArrived,
    RequestCompleted,
    ResponseStarted,
)


def large(number, now=0.0):
    return RequestArrived(number, "c", "look", "open", now + 1500, 1, 0, 3, is_complete=False)


def test_deadline_of_a_large_request_starts_when_it_is_complete():
    gate = gateway()
    first = gate.handle(0.0, [SIX_ENDPOINTS, large(1)])
    assert [one.id for one in first if isinstance(one, SendAttempt)] == [1]
    for step in range(1, 1000):  # 4 s, past its first due time, and no second copy of it goes out
        assert not [
            one for one in gate.handle(step * 4.0, []) if isinstance(one, SendAttempt | Fail | Reject)
        ]
    gate.handle(4000.0, [BodyReleased(1), RequestCompleted(1, 5500.0)])
    late = [one for step in range(1001, 1400) for one in gate.handle(step * 4.0, [])]
    assert [type(one) for one in late if isinstance(one, SendAttempt | Fail | Reject)] == [Reject]


def test_released_body_is_not_retried():
    for parted in (False, True):
        gate = gateway()
        (send,) = [one for one in gate.handle(0.0, [SIX_ENDPOINTS, large(1)]) if isinstance(one, SendAttempt)]
        news = [BodyReleased(1)] * parted + [
            AttemptEnded(1, 0, send.endpoint, 1.0, AttemptResult.CONNECT_FAILED, False)
        ]
        after = gate.handle(4.0, news)
        assert [type(one) for one in after if isinstance(one, SendAttempt | Reject)] == [
            Reject if parted else SendAttempt
        ]


def test_transfer_takes_no_capacity_while_no_endpoint_executes_it():
    """Seen on a day with large bodies: slow clients filled the window, and half of the quota was refused."""
    gate = gateway()
    (send,) = [one for one in gate.handle(0.0, [SIX_ENDPOINTS, large(1)]) if isinstance(one, SendAttempt)]
    assert gate.flow.attempts.limiter.in_flight.value == 0 and not any(
        known.in_flight for known in gate.directory.table.by_id.values()
    )
    gate.handle(4.0, [RequestCompleted(1, 1504.0)])
    assert (
        gate.flow.attempts.limiter.in_flight.value == 1
        and gate.directory.table.by_id[send.endpoint].in_flight == 1
    )
    gate.handle(8.0, [ResponseStarted(1, 0, send.endpoint)])
    assert gate.flow.attempts.limiter.in_flight.value == 0
    gate.handle(12.0, [AttemptEnded(1, 0, send.endpoint, 8.0, AttemptResult.OK, True)])
    assert (
        gate.flow.attempts.limiter.in_flight.value == 0
        and gate.directory.table.by_id[send.endpoint].in_flight == 0
        and not [*gate.flow.attempts.table]
    )
