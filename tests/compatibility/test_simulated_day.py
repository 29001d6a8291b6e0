"""Tests that compare the decisions over a simulated day with a recording."""

import json
import os
import subprocess
import sys
import tomllib

import pytest
from support.polling import wait_until
from support.processes import ROOT
from support.recordings import check_recording

from gateway.gossip import codec
from gateway.interface.actions import SetTimer
from gateway.interface.events import TimerFired

SETTINGS = {
    "balancers": 2,
    "locality": "a",
    "tickMs": 4.0,
    "must": 1,
    "classes": [
        {"name": "look", "aimMs": 500.0, "deadlineMs": 2000.0, "worth": 1.0, "repeat": "retryable"},
        {
            "name": "book",
            "aimMs": 600.0,
            "deadlineMs": 2500.0,
            "worth": 4.0,
            "repeat": "dedup",
            "keyScope": "cell",
            "dedupWindowMs": 1200.0,
        },
        {"name": "debit", "aimMs": 700.0, "deadlineMs": 2500.0, "worth": 3.0, "repeat": "fragile"},
    ],
    "packages": [
        {"name": "basic", "perSecond": 9.0, "storeSize": 20.0, "overWorth": 0.4},
        {
            "name": "capped",
            "perSecond": 8.0,
            "storeSize": 16.0,
            "hardRate": 16.0,
            "hardBurst": 32.0,
            "capSlack": 4.0,
            "overrunCost": 1.0,
        },
        {"name": "open", "concurrency": 3.0, "valueFactor": 1.5},
    ],
    "limits": {
        "maxAttempts": 3,
        "cancel": True,
        "mayTell": True,
        "secondCopies": True,
        "retryAfter": True,
        "maxRetryAfterMs": 900.0,
    },
    "domain": {"maxUnits": 4.0, "inboxPerS": 60.0, "postPaid": True},
    "report": {"how": "answers", "fields": ["util", "inflight"]},
    "rules": {"warmUpMs": 900.0, "coldFrom": 0.2, "fallMultiple": 3.0, "tipAfterMs": 300.0},
}
ENDPOINT_ROWS = [
    f"WORKER\tw:{n}\t{'ab'[n % 2]}\tkind\t{n % 4}\tRunning\t1\t{900 if n > 7 else '-'}" for n in range(10)
]
CLASSES = ("look", "book", "debit")
PLANS = ("basic", "capped", "open", "basic")
RESULTS = ("ok", "ok", "ok", "error", "ok", "full", "ok", "reset", "timeout")
GATEWAYS = 2
TURNS = 500
REQUESTS_IN_FLIGHT = 24  # number of requests that arrive between a request and its result


def start_lines():
    yield "SYNC\t1000"
    for n in range(GATEWAYS):
        yield f"SWITCH_TO\t{n}"
        yield f"CONFIGURE\t{n + 7}\t{json.dumps(dict(SETTINGS, myNumber=n))}"
        yield from ("FLEET\tfull\t1\t10", *ENDPOINT_ROWS)
    yield "YOUR_TURN"


def request_line(number, now):
    class_name = CLASSES[number % 3]
    plan_name = PLANS[number // 3 % 4]
    due_ms = now + 900 + number % 700
    state = 2 * (number % 9 == 0)
    return (
        f"REQUEST\t{number}\t0\t2\t{1 + number % 3}\t{due_ms}\t{state}\t"
        f"{number % 7:016x}\t{class_name}\t{plan_name}"
    )


def result_line(number):
    result = RESULTS[number % 9]
    return (
        f"VERDICT\t{number}\t0\t1\tw:{number % 10}\t{20 + number % 50}\t{result}\t"
        f"{int(result == 'ok')}\t0\t0.{number % 10},{number % 6}"
    )


def datagram_line(step, sender):
    entry = codec.QuotaEntry(
        codec.EntryKind(1 + step // 25 % 7),
        codec.customer_tag(f"{step % 7:016x}"),
        step + 1,
        1.0,
        2.5,
        step % 3,
        step % 3,
    )
    data = codec.encode(9, 3.0, [entry], [codec.observation_of("w:3", 0, 2.0)])
    return f"FROM_PEER\t{sender}\t{data.hex()}"


def simulated_day():
    """Yield the simulator's lines for TURNS batches with two gateways, ten endpoints and three classes."""
    yield from start_lines()
    number = 0
    for step in range(TURNS):
        now = 1004 + 4 * step
        yield f"SYNC\t{now}"
        for n in range(GATEWAYS):
            yield f"SWITCH_TO\t{n}"
            yield "FIRED\tagenda"
            if step % 100 == 50:
                stopping = ENDPOINT_ROWS[step // 100].replace("Running", "Stopping")
                yield from ("FLEET\tdelta\t2\t1", stopping)
            number += 1
            yield request_line(number, now)
            if number > REQUESTS_IN_FLIGHT:
                yield result_line(number - REQUESTS_IN_FLIGHT)
            if step % 25 == 0:
                yield datagram_line(step, 1 - n)
        yield "YOUR_TURN"


def test_decisions_over_a_simulated_day_match_the_recording():
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"]
    command = command.replace(".venv/bin/python", sys.executable)
    process = subprocess.run(
        ["/bin/sh", "-c", command],
        input="\n".join([*simulated_day(), ""]).encode(),
        cwd=ROOT,
        capture_output=True,
        env={**os.environ, "PYTHONHASHSEED": "random"},
    )
    assert process.returncode == 0 and not process.stderr
    check_recording("simulated-day.txt", process.stdout)


@pytest.mark.scripted_controller(endpoint=None)
@pytest.mark.parametrize("after_ms", [0.0, 12.5])
async def test_timer_fires_no_earlier_than_requested(after_ms, controller, gateway):
    controller.pending_actions = [SetTimer(after_ms, "agenda")]
    began_ms = gateway.clock.now()
    gateway.controller_loop.enqueue(TimerFired("begin"))
    await wait_until(lambda: TimerFired("agenda") in controller.events)
    assert gateway.clock.now() - began_ms >= after_ms
