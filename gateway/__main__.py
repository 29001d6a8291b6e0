"""The program: `python -m gateway`, configured by the environment and the file that it names.

Exit codes: 0 after a graceful shutdown, 1 if an address cannot be used, 2 if the configuration is invalid.
"""

from __future__ import annotations

import logging
import os
import signal
import sys

import uvloop

from gateway.config import load_config
from gateway.errors import ConfigError
from gateway.log_handler import NonBlockingHandler
from gateway.process import serve

EXIT_OK = 0
EXIT_ADDRESS = 1
EXIT_CONFIG = 2


def configure_logging() -> None:
    """Log to standard error, without blocking when its reader stalls."""
    # If standard error is closed, its descriptor's number may belong to a client's socket by now.
    handler = logging.NullHandler() if sys.stderr is None else NonBlockingHandler(sys.stderr.fileno())
    logging.basicConfig(
        handlers=[handler], level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s"
    )


def main() -> int:
    """Run one gateway until a signal ends it; return the exit code."""
    configure_logging()
    # Ignored until the process handles it, as the configuration is about to be read anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load_config(os.environ)
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
