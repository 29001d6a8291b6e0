"""Stand-ins for discovery and one endpoint on loopback, to see a first answer of a gateway.

    .venv/bin/python tools/standins.py

writes a configuration, prints the command that starts a gateway with it and the one that asks it, and serves
until Ctrl-C.
"""

from __future__ import annotations

import json
import pathlib
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOST = "127.0.0.1"
GATEWAY_PORT = 8080
ADMIN_PORT = 9100
MAX_WATCH_S = 5.0
SETTINGS = {
    "balancers": 1,
    "myNumber": 0,
    "classes": [
        {"name": "look", "aimMs": 500.0, "deadlineMs": 2000.0, "worth": 1.0, "repeat": "retryable"},
    ],
    "packages": [{"name": "basic", "perSecond": 50.0, "storeSize": 100.0}],
    "limits": {"maxAttempts": 3, "cancel": True},
    "rules": {"warmUpMs": 0.0, "coldFrom": 1.0, "fallMultiple": 3.0, "tipAfterMs": 1000.0},
}
ASK = (
    f"curl -i http://{HOST}:{GATEWAY_PORT}/look/1 -H 'X-Request-Id: first' -H 'X-Tier: basic' "
    "-H 'X-Api-Key: 0000000000000001' -H 'X-Deadline-Ms: 1000' "
    "-H 'X-Call-Terms: units=1,spread=1,first=0'"
)


class Quiet(BaseHTTPRequestHandler):
    """A handler that logs nothing, and answers in one piece."""

    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""

    def answer(self, body: bytes) -> None:
        """Answer with 200 and a body."""
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Endpoint(Quiet):
    """Answers every request."""

    def do_GET(self) -> None:
        """Answer."""
        self.answer(b"hello from the endpoint\n")


def discovery_for(endpoint_port: int) -> type[Quiet]:
    """Return a discovery service that lists one endpoint and never changes."""
    entry = {
        "name": "endpoint-1",
        "address": f"{HOST}:{endpoint_port}",
        "zone": "",
        "group": 0,
        "status": "ready",
        "weight": 1.0,
        "since_ms": 0,
    }

    class Discovery(Quiet):
        """Answers with the snapshot, and to a watch with no change."""

        def do_GET(self) -> None:
            """Answer a poll or a watch."""
            is_watch = "since=" in self.path
            if is_watch and self.path.rpartition("&")[2] != "timeout_ms=1":
                time.sleep(MAX_WATCH_S)
            entries = [] if is_watch else [entry]
            self.answer(json.dumps({"index": 1, "snapshot": not is_watch, "endpoints": entries}).encode())

    return Discovery


def serve(handler: type[Quiet]) -> int:
    """Serve on a port of the system's choice, and return it."""
    server = ThreadingHTTPServer((HOST, 0), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return int(server.server_address[1])


def main() -> None:
    """Serve until Ctrl-C."""
    discovery_port = serve(discovery_for(serve(Endpoint)))
    config = {
        "name": "gateway-1",
        "listen": f"{HOST}:{GATEWAY_PORT}",
        "control": f"{HOST}:{ADMIN_PORT}",
        "discovery": f"{HOST}:{discovery_port}",
        "seed": "1",
        "settings": SETTINGS,
    }
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        print(f"BALANCER_CONFIG={path} .venv/bin/python -m gateway", ASK, sep="\n", flush=True)
        try:
            threading.Event().wait()
        except KeyboardInterrupt:
            return


if __name__ == "__main__":
    main()
