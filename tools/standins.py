"""A discovery service and one endpoint on the loopback address, for trying out a gateway by hand.

    .venv/bin/python tools/standins.py

The program writes a configuration file, prints a command that starts a gateway with it and a command
that sends a request, and serves until Ctrl-C.
"""

from __future__ import annotations

import json
import pathlib
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOST = "127.0.0.1"  # address on which the servers and the gateway listen
GATEWAY_PORT = 8080  # port on which the gateway accepts clients
ADMIN_PORT = 9100  # port of the gateway's admin endpoint
WATCH_DURATION_S = 5.0  # seconds after which a watch is answered without a change
SHORT_WATCH = "timeout_ms=1"  # last query parameter of a watch that is answered without this delay
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
REQUEST_COMMAND = (
    f"curl -i http://{HOST}:{GATEWAY_PORT}/look/1 -H 'X-Request-Id: first' -H 'X-Tier: basic' "
    "-H 'X-Api-Key: 0000000000000001' -H 'X-Deadline-Ms: 1000' "
    "-H 'X-Call-Terms: units=1,spread=1,first=0'"
)


class QuietHandler(BaseHTTPRequestHandler):
    """The base class of the handlers; it does not log requests to standard error."""

    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: object) -> None:
        """Do nothing, instead of logging each request."""

    def respond(self, body: bytes) -> None:
        """Send the body in a response with status 200."""
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class EndpointHandler(QuietHandler):
    """The handler of the endpoint, which sends an identical response to every GET request."""

    def do_GET(self) -> None:
        """Respond with a constant body."""
        self.respond(b"hello from the endpoint\n")


def discovery_handler(endpoint_port: int) -> type[QuietHandler]:
    """Return the handler class of a discovery service with a constant list of one endpoint."""
    entry = {
        "name": "endpoint-1",
        "address": f"{HOST}:{endpoint_port}",
        "zone": "",
        "group": 0,
        "status": "ready",
        "weight": 1.0,
        "since_ms": 0,
    }

    class DiscoveryHandler(QuietHandler):
        """Answers a poll with the list at once, and a watch with no change after WATCH_DURATION_S."""

        def do_GET(self) -> None:
            """Answer a poll or a watch, which has the query parameter `since`."""
            is_watch = "since=" in self.path
            if is_watch and self.path.rpartition("&")[2] != SHORT_WATCH:
                time.sleep(WATCH_DURATION_S)
            endpoints = [] if is_watch else [entry]
            response = {"index": 1, "snapshot": not is_watch, "endpoints": endpoints}
            self.respond(json.dumps(response).encode())

    return DiscoveryHandler


def start_server(handler: type[QuietHandler]) -> int:
    """Start a server in a background thread, on a free port that the system chooses; return the port."""
    server = ThreadingHTTPServer((HOST, 0), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return int(server.server_address[1])


def main() -> None:
    """Start the servers, write the configuration, print the commands, and wait for Ctrl-C."""
    endpoint_port = start_server(EndpointHandler)
    discovery_port = start_server(discovery_handler(endpoint_port))
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
        print(f"BALANCER_CONFIG={path} .venv/bin/python -m gateway")
        print(REQUEST_COMMAND, flush=True)
        try:
            threading.Event().wait()
        except KeyboardInterrupt:
            return


if __name__ == "__main__":
    main()
