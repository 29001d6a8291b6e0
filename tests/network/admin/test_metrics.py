"""Tests of admin: metrics."""

import asyncio
import re

from support.admin_scenarios import figures
from support.fakes import FakeWorker, Gate, Script, answer, entry, request

from gateway.interface.actions import Fail, Reject
from gateway.interface.events import RequestArrived


async def test_every_metric_is_present_from_the_start():
    async with Gate(None, known=[entry("w1", 9), entry("w2", 9, "draining")]) as gate:
        await asyncio.sleep(0)
        seen = await figures(gate)
        counts = {name: value for name, value in seen.items() if name.startswith("operations_total")}
        assert len(counts) == 9 and not any(counts.values())
        assert 'operations_total{priority="book",status="throttled"}' in counts
        assert seen["relayed_total"] == seen["open_requests"] == 0
        assert (seen["registry_entries"], seen["out_of_rotation"]) == (2, 1)


class Mixed(Script):
    """Sends the first of every three requests on, refuses the second and fails the third."""

    def handle(self, now, events):
        own = [event for event in events if isinstance(event, RequestArrived) and event.id % 3]
        actions = [Reject(event.id) if event.id % 3 == 2 else Fail(event.id) for event in own]
        return actions + super().handle(
            now, [one for one in events if not isinstance(one, RequestArrived) or one.id % 3 == 0]
        )


async def test_each_request_is_counted_once():
    async with FakeWorker() as worker, Gate(Mixed(), known=[entry("w1", worker.port)]) as gate:
        client = await gate.client()
        for number in range(1, 31):
            client.send(request(path="/book/1", key="k") if number % 2 else request())
            if number % 3 == 0:
                _, writer = await worker.asked()
                assert (await figures(gate))["open_requests"] == 1
                writer.write(answer(200 if number % 9 else 500))
            await client.answer()
        client.send(b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n")  # never taken, so no operation
        assert (await client.answer())[0] == 404
        seen = await figures(gate)
        totals = {
            how: sum(value for name, value in seen.items() if f'status="{how}"' in name)
            for how in ("fulfilled", "throttled", "faulted")
        }
        assert totals == {"fulfilled": 7, "throttled": 10, "faulted": 13}
        assert sum(value for name, value in seen.items() if re.search('priority="book"', name)) == 15
        assert seen["relayed_total"] == 10 and seen["open_requests"] == 0
