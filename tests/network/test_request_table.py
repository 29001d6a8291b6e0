"""Tests of the table of open requests: ids, guard timers and the one final answer."""

import heapq

import pytest
from support.configurations import configuration

from gateway.config import config_from
from gateway.errors import BadRequestError
from gateway.interface.events import ClientDisconnected
from gateway.network.admin.metrics import FinalStatus, Metrics
from gateway.network.attempt_table import AttemptTable
from gateway.network.clients.received_request import ReceivedRequest
from gateway.network.clients.request_validator import ValidatedRequest
from gateway.network.clock import Timer
from gateway.network.request_table import (
    DEADLINE_MARGIN_MS,
    GUARD_MARGIN_MS,
    ID_MEMORY_MS,
    RequestTable,
)

CLASS = config_from(configuration(), {}).settings.classes[0]


class ManualTimers:
    """A clock and its timers, advanced by the test."""

    def __init__(self):
        self.now_ms = 1e6
        self._heap = []

    def now(self):
        return self.now_ms

    def call_at(self, when_ms, call):
        timer = Timer(call)
        heapq.heappush(self._heap, (when_ms, len(self._heap), timer))
        return timer

    def advance(self, ms):
        end_ms = self.now_ms + ms
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, timer = heapq.heappop(self._heap)
            if timer.callback is not None:
                timer.callback()
        self.now_ms = end_ms


class RecordingClient:
    """A client's connection that records what is written to it."""

    def __init__(self):
        self.written = []

    def send_response(self, status, body=b"", content_type=b"", retry_after_ms=0.0):
        self.written.append((int(status), body, retry_after_ms))

    def finish_response(self):
        self.written.append("finished")

    def abort_response(self):
        self.written.append("aborted")


class RecordingAttempt:
    """An attempt that records how it ends."""

    def __init__(self, request, number):
        self.request_id = request.id
        self.number = number
        self.ends = []

    def expire(self):
        self.ends.append("expired")

    def cancel(self):
        self.ends.append("cancelled")


class Site:
    """A request table with its collaborators."""

    def __init__(self):
        self.timers = ManualTimers()
        self.metrics = Metrics([CLASS.name])
        self.attempts = AttemptTable()
        self.events = []
        self.client = RecordingClient()
        self.table = RequestTable(self.timers, self.timers, self.metrics, self.attempts, self)

    def enqueue(self, event):
        self.events.append(event)

    def add(self, request_id=b"r1", wait_ms=500.0):
        parsed = ValidatedRequest(request_id, "1", CLASS, "basic", wait_ms, 1.0, 1, 0, False, None)
        received = ReceivedRequest(b"GET", b"/look", {}, b"", None)
        return self.table.add(self.client, parsed, received)

    def attempt(self, request):
        attempt = RecordingAttempt(request, request.attempt_count)
        request.attempt_count += 1
        self.attempts.add(attempt)
        return attempt

    def counted(self):
        return {status.value: n for (_, status), n in self.metrics.operations.items() if n}


@pytest.fixture
def site():
    return Site()


def guarded(site):
    request = site.add()
    site.table.start_guard(request, site.table.deadline_at_ms(request))
    return request


def answer_ok(site, request):
    return site.table.answer(request, FinalStatus.FULFILLED, 200, b"body")


FINAL_ANSWERS = {
    "answer": (answer_ok, (200, b"body", 0.0), "fulfilled"),
    "reject": (lambda site, request: site.table.reject(request.id, 7.0), (503, b"", 7.0), "throttled"),
    "fail": (lambda site, request: site.table.fail(request.id), (502, b"", 0.0), "faulted"),
    "guard": (lambda site, request: site.timers.advance(500.0), (504, b"", 0.0), "faulted"),
    "finished": (
        lambda site, request: site.table.finish_response(request, is_complete=True),
        "finished",
        "fulfilled",
    ),
    "aborted": (
        lambda site, request: site.table.finish_response(request, is_complete=False),
        "aborted",
        "faulted",
    ),
}


@pytest.mark.parametrize("first", FINAL_ANSWERS)
def test_first_final_answer_is_the_only_one_and_counted_once(first, site):
    request = guarded(site)
    give, written, outcome = FINAL_ANSWERS[first]
    give(site, request)
    assert not site.table.open
    for name in ("answer", "reject", "fail", "guard"):
        FINAL_ANSWERS[name][0](site, request)
    assert site.client.written == [written] and site.counted() == {outcome: 1}


def test_guard_timer_answers_before_the_deadline_and_reports_it(site):
    request = guarded(site)
    site.timers.advance(500.0 - GUARD_MARGIN_MS - 0.1)
    assert site.client.written == [] and site.events == []
    site.timers.advance(0.2)
    assert site.client.written == [(504, b"", 0.0)] and site.events == [ClientDisconnected(request.id)]


def test_deadline_of_a_request_during_shutdown_is_the_end_of_the_shutdown(site):
    request = site.add(wait_ms=500.0)
    now_ms = site.timers.now()
    assert site.table.deadline_at_ms(request) == now_ms + 500.0
    site.table.begin_shutdown(now_ms + 100.0)
    assert site.table.deadline_at_ms(request) == now_ms + 100.0
    site.table.begin_shutdown(now_ms)
    assert site.table.deadline_at_ms(request) == now_ms + 2 * DEADLINE_MARGIN_MS


def test_disconnected_client_gets_no_answer_and_its_streaming_attempt_is_cancelled(site):
    request = guarded(site)
    plain, streaming = site.attempt(request), site.attempt(request)
    request.streaming_attempt = streaming.number
    site.table.on_client_disconnected(request)
    site.table.on_client_disconnected(request)
    assert site.events == [ClientDisconnected(request.id)]
    assert (plain.ends, streaming.ends) == (["expired"], ["cancelled"])
    assert not answer_ok(site, request)
    site.timers.advance(500.0)
    assert site.client.written == [] and site.counted() == {}


def test_final_answer_expires_the_attempts_that_are_not_sent(site):
    request = site.add()
    attempt = site.attempt(request)
    assert answer_ok(site, request)
    assert attempt.ends == ["expired"]


def test_id_of_an_open_or_recently_ended_request_is_rejected(site):
    request = site.add(b"r1")
    with pytest.raises(BadRequestError) as rejected:
        site.add(b"r1")
    assert rejected.value.status == 409 and list(site.table.open) == [request.id]
    assert site.add(b"r2").id != request.id
    site.table.fail(request.id)
    site.timers.advance(ID_MEMORY_MS)
    with pytest.raises(BadRequestError):
        site.add(b"r1")
    site.timers.advance(ID_MEMORY_MS)
    assert site.add(b"r1").request_id == b"r1"
