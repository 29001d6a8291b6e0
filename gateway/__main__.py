"""The program: `python -m gateway`, configured by the environment and the file that it names.

Exit codes: 0 after a graceful shutdown, 1 where an address can't be used, 2 where the configuration can't.
"""

from __future__ import annotations

import logging
import os
import signal
import sys

import uvloop

from gateway.config import load
from gateway.errors import ConfigError
from gateway.log_handler import NonBlockingHandler
from gateway.process import serve

EXIT_OK = 0
EXIT_ADDRESS = 1
EXIT_CONFIG = 2


def configure_logging() -> None:
    """Log to standard error, without ever waiting for whoever reads it."""
    # No handler at all where standard error is closed: its number may be that of a client's socket by now.
    handler = logging.NullHandler() if sys.stderr is None else NonBlockingHandler(sys.stderr.fileno())
    logging.basicConfig(
        handlers=[handler], level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s"
    )


def main() -> int:
    """Run one gateway until it is told to end; return the exit code."""
    configure_logging()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it is handled: what it asks for is read anyway
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"gateway: {error}", file=sys.stderr)
        return EXIT_CONFIG
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"gateway: {error}", file=sys.stderr)
        return EXIT_ADDRESS
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
