"""The command line of the fault injection: `python -m tools.fault_injection --seeds 1-50`."""

from __future__ import annotations

import argparse
import asyncio
import sys
import time

from tools.fault_injection.preload import BuildError
from tools.fault_injection.soak import play

EXIT_KEPT = 0
EXIT_BROKEN = 1
EXIT_ERROR = 2


def parse_seeds(text: str) -> range:
    """Return the seeds of a text like `7` or `1-50`; raises ValueError if it is malformed."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main() -> int:
    """Play the seeds one after another, print each result, and return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m tools.fault_injection", description=__doc__)
    parser.add_argument(
        "--seeds", type=parse_seeds, default=range(1, 4), help="one seed, or the first and the last: 1-50"
    )
    parser.add_argument(
        "--max-duration", type=float, default=3600.0, help="seconds after which no further seed is begun"
    )
    arguments = parser.parse_args()
    started_s = time.monotonic()
    broken = played = 0
    for seed in arguments.seeds:
        if time.monotonic() - started_s > arguments.max_duration:
            break
        try:
            result = asyncio.run(play(seed))
        except BuildError as error:
            print(f"the library for small socket buffers cannot be built: {error}", file=sys.stderr)
            return EXIT_ERROR
        played += 1
        broken += bool(result.breaks)
        print(result, flush=True)
    print(f"{played} seeds played, {broken} with a broken rule")
    return EXIT_BROKEN if broken else EXIT_KEPT


if __name__ == "__main__":
    sys.exit(main())
