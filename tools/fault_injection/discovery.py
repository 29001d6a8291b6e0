"""Discovery with a list that does not change."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from tools.fault_injection.server import Server
from tools.fault_injection.stream import Stream, parse_head


class Discovery(Server):
    """Answers calls with the whole list, and a watch with no change once its time is over."""

    def __init__(self, addresses: list[str]) -> None:
        """List a warm endpoint at each of these addresses."""
        super().__init__()
        self.entries = [_entry(number, address) for number, address in enumerate(addresses)]

    async def serve(self, stream: Stream) -> None:
        """Answer the calls on a connection one after another."""
        while True:
            first_line, _ = parse_head(await stream.read_until(b"\r\n\r\n"))
            query = dict(parse_qsl(urlsplit(first_line.split(" ")[1]).query))
            is_watch = "since" in query
            if is_watch:
                await asyncio.sleep(int(query.get("timeout_ms", "0")) / 1000)
            entries = [] if is_watch else self.entries
            value = {"index": 1, "snapshot": not is_watch, "endpoints": entries}
            body = json.dumps(value).encode()
            await stream.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def _entry(number: int, address: str) -> dict[str, Any]:
    return {
        "name": f"s{number}",
        "address": address,
        "zone": "a",
        "type": "m",
        "group": 0,
        "status": "ready",
        "weight": 1.0,
        "since_ms": 0,
    }
