"""`python -m petrelwood.node`: run one dispatcher, as the platform starts it, until SIGTERM.

The exit status is 0 after SIGTERM, and 2 with one line on standard error if the start fails.
"""

import signal
import sys

EARLY_SIGNALS: list[int] = []  # received before the event loop runs


def main() -> int:
    """Run a dispatcher until SIGTERM; return the exit status."""
    # Imports take most of the start-up time, so the signal handlers are installed before them.
    from petrelwood.node import program

    return program.run(EARLY_SIGNALS)


for _number in (signal.SIGHUP, signal.SIGTERM):
    signal.signal(_number, lambda number, frame: EARLY_SIGNALS.append(number))

if __name__ == "__main__":
    sys.exit(main())
