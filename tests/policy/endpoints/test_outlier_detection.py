"""Tests of endpoints: outlier detection."""

from support.policy_scenarios import SIX_ENDPOINTS, ask, gateway, of, outcome

from gateway.gossip import codec as messages
from gateway.interface.actions import (
    SendAttempt,
)
from gateway.interface.events import (
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    GossipReceived,
)


def test_fast_failing_endpoint_does_not_attract_load():
    c = gateway()
    now, sent, number = 1000.0, [], 0
    c.handle(now, [SIX_ENDPOINTS])
    for _ in range(200):
        number, now = number + 1, now + 20
        for send in of(SendAttempt, c.handle(now, [ask(number, due=now + 4000, customer=f"c{number}")])):
            sent.append(send.endpoint)
            result, took = (AttemptResult.ERROR, 2) if send.endpoint == "s1" else (AttemptResult.OK, 90)
            more = c.handle(now + 5, [outcome(send, result, took=took)])
            for n, retry in enumerate(of(SendAttempt, more)):
                c.handle(now + 10, [outcome(retry, AttemptResult.OK, n + 1)])
    assert sent.count("s1") < len(sent) / 15


def test_refusing_endpoint_draws_no_load_and_does_not_cut_the_limit():
    """It answers in no time, so it looks idle; and its refusals say nothing of the rest of the fleet."""
    for result in (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED):
        c = gateway()
        now, sent = 1000.0, []
        c.handle(now, [SIX_ENDPOINTS])
        for number in range(1, 300):
            now += 10
            sends = of(SendAttempt, c.handle(now, [ask(number, due=now + 1400, customer=f"c{number}")]))
            while sends:
                send = sends.pop()
                sent.append(send.endpoint)
                bad = send.endpoint == "s2"
                attempt = c.flow.open[send.id].attempts - 1
                sends += of(
                    SendAttempt,
                    c.handle(now + 2, [outcome(send, result if bad else AttemptResult.OK, attempt)]),
                )
        assert sent.count("s2") < len(sent) / 15
        assert c.flow.attempts.limiter.cut == 1.0


def test_observation_of_a_shared_tag_affects_neither_endpoint():
    """Tags have 16 bits: with 200 servers two share one on a quarter of the days, and the good one of them
    was passed by for the failures of the other."""
    names: list[str] = []
    by_tag: dict[int, str] = {}
    while not names:
        name = f"s{len(by_tag)}"
        other = by_tag.setdefault(messages.endpoint_tag(name), name)
        names = [other, name] if other != name else []
    controller = gateway()
    servers = [Endpoint(name, "z0", 0, EndpointState.READY) for name in (*names, "lone")]
    controller.handle(0.0, [EndpointUpdate(tuple(servers))])
    seen = [messages.observe(name, 0, float("inf")) for name in (names[0], "lone")]
    controller.handle(4.0, [GossipReceived(1, messages.encode(5, 1.0, [], seen))])
    known = controller.directory.table.by_id
    failing = [controller.selector.outliers.failure_rate(known[one.id], "look") for one in servers]
    assert failing[:2] == [0.0, 0.0] and failing[2] > 0
