"""Tests of process: start."""

import asyncio
import json

import pytest
from support.fakes import (
    Client,
    FakeDiscovery,
    FakeWorker,
    answer,
    config,
    entry,
    listing,
    request,
    told,
)
from support.process_scenarios import (
    free_port,
    of_a_fleet,
    start,
    tell_list,
    until_up,
    with_program,
)


def test_killed_process_restarts_at_the_same_address(tmp_path):
    async def scenario(process, port, worker, fake, path):
        client = await Client().open(port)
        client.send(request())
        await worker.asked()
        process.kill()
        await process.wait()
        again = await start(path)
        try:
            while (await fake.called())[0] != "/discovery/hosts":
                pass  # the first one's watch
            # The call of the second is the last one taken; it gives up silence and calls once more.
            await tell_list(fake, entry("w1", worker.port))
            await until_up(port)
        finally:
            again.kill()
            await again.wait()

    with_program(tmp_path, scenario)


@pytest.mark.parametrize(
    ("text", "name"),
    [(None, "cannot read"), ("{", "config.json"), ("[]", "config"), ('{"seed":"1"}', "settings")],
)
async def test_invalid_configuration_exits_with_one_line(tmp_path, text, name):
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    process = await start(path)
    _, said = await process.communicate()
    assert process.returncode == 2 and said.count(b"\n") == 1 and name.encode() in said


async def test_silent_discovery_does_not_prevent_a_start_with_the_configured_list(tmp_path):
    async with FakeDiscovery() as fake, FakeWorker() as worker:
        port = free_port()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config(fake.port, port, known=[entry("w1", worker.port)])))
        process = await start(path)
        try:
            await until_up(port)
            client = await Client().open(port)
            client.send(request())
            _, writer = await worker.asked()
            writer.write(answer())
            assert (await client.answer())[0] == 200
        finally:
            process.kill()
            await process.wait()


@pytest.mark.parametrize("discovery", ["automatic", "subscribe"])
@pytest.mark.parametrize("trouble", ["silent", "down", "turns away", "breaks off"])
async def test_gateway_of_a_large_fleet_starts_in_time_whatever_discovery_does(tmp_path, trouble, discovery):
    """Within 10 s, when 230 start at once. News is taken once there is any."""
    async with FakeDiscovery() as fake, FakeWorker() as worker, FakeWorker() as other:

        async def turn_away():
            while True:
                _, writer = await fake.called()
                writer.write(answer(503)) if trouble == "turns away" else writer.transport.abort()

        turning = asyncio.create_task(turn_away()) if trouble in ("turns away", "breaks off") else None
        port, path = free_port(), tmp_path / "config.json"
        value = of_a_fleet(
            free_port() if trouble == "down" else fake.port, port, 230, known=[entry("w1", worker.port)]
        )
        value["settings"]["discovery"] = discovery
        path.write_text(json.dumps(value))
        process = await start(path)
        try:
            async with asyncio.timeout(10):
                await until_up(port)
            client = await Client().open(port)
            client.send(request())
            _, writer = await worker.asked()
            writer.write(answer())
            assert (await client.answer())[0] == 200
            if turning:  # it is back
                turning.cancel()
                news = listing(
                    entry("w1", worker.port, "gone"), entry("w2", other.port), index=2, snapshot=False
                )
                async with asyncio.timeout(6):
                    while "since=2&" not in (called := await fake.called())[0]:
                        called[1].write(told(news))
                client.send(request())
                _, writer = await other.asked()
                writer.write(answer())
                assert (await client.answer())[0] == 200
        finally:
            process.kill()
            await process.wait()
