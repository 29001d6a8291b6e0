"""Tests of the adapter to the simulator, run as a process on standard input and output."""

import io
import json
import pathlib
import subprocess
import sys
import tomllib

import pytest

from gateway.policy.controller import Controller
from gateway.simulator import adapter

ROOT = pathlib.Path(__file__).parents[2]
SETTINGS = {
    "balancers": 2,
    "myNumber": 0,
    "locality": "a",
    "tickMs": 4.0,
    "unheard": {"of": 1},
    "classes": [{"name": "look", "aimMs": 500.0, "deadlineMs": 2000.0, "worth": 1.0, "repeat": "retryable"}],
    "packages": [{"name": "basic", "perSecond": 5.0, "storeSize": 10.0}],
    "limits": {"maxAttempts": 3, "cancel": True, "mayTell": True},
    "rules": {"warmUpMs": 9000.0, "coldFrom": 0.2, "fallMultiple": 3.0, "tipAfterMs": 1000.0},
}
FLEET_LINES = "FLEET\tcached\t1\t1\nWORKER\tw:1\ta\tkind\t0\tRunning\t1\t-\n"


def start_lines(settings=SETTINGS):
    """Return a batch that starts instance 0 with these settings and one endpoint."""
    return f"SYNC\t1000\nSWITCH_TO\t0\nCONFIGURE\t7\t{json.dumps(settings)}\n{FLEET_LINES}YOUR_TURN\n"


def simulate(text):
    """Run the adapter with the command of the deploy file and this input, and return the ended process."""
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"]
    assert command == "exec .venv/bin/python -m gateway.simulator"
    command = command.replace(".venv/bin/python", sys.executable)
    return subprocess.run(["/bin/sh", "-c", command], input=text, cwd=ROOT, text=True, capture_output=True)


def test_request_is_forwarded_and_end_of_input_exits_with_0():
    process = simulate(
        "SYNC\t900\nYOUR_TURN\n" + start_lines() + "SYNC\t1004\nSWITCH_TO\t0\n"
        "REQUEST\t5\t0\t2\t1\t2500\t0\t00ff00ff00ff00ff\tlook\tbasic\nYOUR_TURN\n"
        "SYNC\t1050\nSWITCH_TO\t0\nVERDICT\t5\t0\t0\tw:1\t40\tok\t1\t0\t-\nYOUR_TURN\n"
    )
    assert process.returncode == 0 and process.stderr == ""
    replies = process.stdout.split("FINISHED\n")
    assert replies[0] == "" and "HAND_OFF\t5\tw:1\t" in replies[2] and len(replies) == 5


@pytest.mark.parametrize(
    ("line", "names"),
    [
        ("REQUEST\t5\t0\t2\t1\tsoon\t0\tff\tlook\tbasic", ("REQUEST", "dueMs")),
        ("REQUEST\t5\t0", ("REQUEST", "fields")),
        ("REQUEST\t-5\t0\t2\t1\t2500\t0\tff\tlook\tbasic", ("REQUEST", "requestId")),
        ("VERDICT\t5\t0\t0\tw:1\t40\tgreat\t1\t0\t-", ("VERDICT", "result")),
        ("VERDICT\t5\t0\t0\tw:1\tnan\tok\t1\t0\t-", ("VERDICT", "rttMs")),
        ("FROM_PEER\t1\txyz", ("FROM_PEER", "data")),
        ("FLEET\tsome\t1\t0", ("FLEET", "mode")),
        ("FLEET\tfull\t1\t2\nWORKER\tw:1\ta\tkind\t0\tRunning\t1\t-", ("FLEET", "rows")),
        ("WORKER\tw:1\ta\tkind\t0\tRunning\t1\t-", ("WORKER", "place")),
    ],
)
def test_invalid_line_is_reported_by_message_and_field_and_ends_the_process(line, names):
    process = simulate(start_lines() + f"SYNC\t1004\nSWITCH_TO\t0\n{line}\nYOUR_TURN\n")
    assert process.returncode != 0 and "Traceback" not in process.stderr
    assert all(name in process.stderr for name in names)


def test_unknown_message_is_reported_once_and_skipped():
    process = simulate(start_lines() + "SYNC\t1004\nSWITCH_TO\t0\nPARADE\t1\nPARADE\t2\nYOUR_TURN\n")
    assert process.returncode == 0 and process.stderr.count("PARADE") == 1


def settings_with(path, value):
    """Return SETTINGS with the value at a path replaced, or removed if the new value is None."""
    settings = json.loads(json.dumps(SETTINGS))
    *parents, key = path
    parent = settings
    for parent_key in parents:
        parent = parent[parent_key]
    if value is None:
        del parent[key]
    else:
        parent[key] = value
    return settings


@pytest.mark.parametrize(
    ("path", "value", "name"),
    [
        (("balancers",), None, "balancers"),
        (("rules", "coldFrom"), None, "coldFrom"),
        (("classes", 0, "repeat"), "never", "repeat"),
        (("packages", 0, "perSecond"), -1, "rate_per_s"),
        (("classes",), [], "classes"),
        (("limits", "maxAttempts"), "six", "maxAttempts"),
        (("rules",), 3, "rules"),
    ],
)
def test_invalid_settings_are_reported_by_their_path(path, value, name):
    process = simulate(start_lines(settings_with(path, value)))
    assert process.returncode != 0 and name in process.stderr and "Traceback" not in process.stderr


def test_controller_error_is_reported_on_the_wire(monkeypatch):
    monkeypatch.setattr(Controller, "handle", lambda self, now, events: 1 / 0)
    monkeypatch.setattr(sys, "stdin", io.TextIOWrapper(io.BytesIO(start_lines().encode())))
    output = io.TextIOWrapper(io.BytesIO())
    monkeypatch.setattr(sys, "stdout", output)
    assert adapter.main() == 1
    output.seek(0)
    assert output.read() == "FROM\t0\nBUG\tinstance 0: ZeroDivisionError: division by zero\nFINISHED\n"


def instance_lines(*numbers):
    """Return batches in which the instances with these numbers start, and handle a request in each turn."""
    text = "SYNC\t1000\n"
    for n in numbers:
        settings = json.dumps(dict(SETTINGS, myNumber=n))
        text += f"SWITCH_TO\t{n}\nCONFIGURE\t{n + 7}\t{settings}\n{FLEET_LINES}"
    text += "YOUR_TURN\n"
    for now in range(1004, 1600, 4):
        text += f"SYNC\t{now}\n"
        for n in numbers:
            text += f"SWITCH_TO\t{n}\nFIRED\tagenda\n"
            text += f"REQUEST\t{now * 2 + n}\t0\t2\t1\t2500\t0\tff{n}\tlook\tbasic\n"
        text += "YOUR_TURN\n"
    return text


def instance_replies(*numbers):
    """Return the replies to each batch, split by instance."""
    output = simulate(instance_lines(*numbers)).stdout
    return [reply.split("FROM\t") for reply in output.split("FINISHED\n")]


def test_instances_reply_the_same_in_one_process_and_in_separate_processes():
    both = instance_replies(0, 1)
    first = instance_replies(0)
    second = instance_replies(1)
    assert sum(len(reply) for reply in both) > 100
    for reply_of_both, reply_of_first, reply_of_second in zip(both, first, second, strict=True):
        assert reply_of_both[1:] == reply_of_first[1:] + reply_of_second[1:]
