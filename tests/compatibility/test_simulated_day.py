"""Tests of compatibility: simulated day."""

import asyncio
import json
import os
import subprocess
import sys
import tomllib

import pytest
from support.fakes import (
    Gate,
    Script,
)
from support.process_scenarios import ROOT
from support.recordings import check

from gateway.gossip import codec as messages
from gateway.interface.actions import SetTimer
from gateway.interface.events import (
    TimerFired,
)


def simulated_day():
    """A day on the simulator's wire: two gateways, ten workers that come and go, three classes."""
    info = {
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
    rows = [
        f"WORKER\tw:{n}\t{'ab'[n % 2]}\tkind\t{n % 4}\tRunning\t1\t{900 if n > 7 else '-'}" for n in range(10)
    ]
    yield "SYNC\t1000"
    for n in range(2):
        yield f"SWITCH_TO\t{n}"
        yield f"CONFIGURE\t{n + 7}\t{json.dumps(dict(info, myNumber=n))}"
        yield from ("FLEET\tfull\t1\t10", *rows)
    yield "YOUR_TURN"
    number = 0
    for step in range(500):
        now = 1004 + 4 * step
        yield f"SYNC\t{now}"
        for n in range(2):
            yield f"SWITCH_TO\t{n}"
            yield "FIRED\tagenda"
            if step % 100 == 50:
                yield from ("FLEET\tdelta\t2\t1", rows[step // 100].replace("Running", "Stopping"))
            number += 1
            name, plan = (
                ("look", "book", "debit")[number % 3],
                ("basic", "capped", "open", "basic")[number // 3 % 4],
            )
            due_ms, state = now + 900 + number % 700, 2 * (number % 9 == 0)
            yield (
                f"REQUEST\t{number}\t0\t2\t{1 + number % 3}\t{due_ms}\t{state}\t"
                f"{number % 7:016x}\t{name}\t{plan}"
            )
            older = number - 24
            if older > 0:
                result = ("ok", "ok", "ok", "error", "ok", "full", "ok", "reset", "timeout")[older % 9]
                yield (
                    f"VERDICT\t{older}\t0\t1\tw:{older % 10}\t{20 + older % 50}\t{result}\t"
                    f"{int(result == 'ok')}\t0\t0.{older % 10},{older % 6}"
                )
            if step % 25 == 0:
                item = messages.QuotaEntry(
                    messages.EntryKind(1 + step // 25 % 7),
                    messages.customer_tag(f"{step % 7:016x}"),
                    step + 1,
                    1.0,
                    2.5,
                    step % 3,
                    step % 3,
                )
                data = messages.encode(9, 3.0, [item], [messages.observe("w:3", 0, 2.0)])
                yield f"FROM_PEER\t{1 - n}\t{data.hex()}"
        yield "YOUR_TURN"


def test_simulated_day_is_decided_as_recorded():
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"]
    command = command.replace(".venv/bin/python", sys.executable)
    done = subprocess.run(
        ["/bin/sh", "-c", command],
        input="\n".join([*simulated_day(), ""]).encode(),
        cwd=ROOT,
        capture_output=True,
        env={**os.environ, "PYTHONHASHSEED": "random"},
    )
    assert done.returncode == 0 and not done.stderr
    check("simulated-day.txt", done.stdout)


@pytest.mark.parametrize("wake", [0.0, 12.5])
async def test_wake_up_falls_on_the_grid_of_ticks(wake):
    script = Script(worker="")
    async with Gate(script) as gate:
        script.to_do = [SetTimer(wake, "agenda")]
        began_ms = gate.gateway.clock.now()
        gate.gateway.controller_loop.enqueue(TimerFired("begin"))
        while not [event for event in script.events if event == TimerFired("agenda")]:
            await asyncio.sleep(0.001)
        assert gate.gateway.clock.now() - began_ms >= wake
