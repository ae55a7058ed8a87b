"""`python -m petrelwood.node`: one dispatcher as its platform starts it, until SIGTERM.

Exit status 0 after SIGTERM, 2 with one line on standard error where it can't start.
"""

import signal
import sys

EARLY_SIGNALS: list[int] = []  # those that come before the event loop runs


def main() -> int:
    """Run a dispatcher until SIGTERM; return the exit status."""
    # Most of the start is spent in imports: signals are caught before them.
    from petrelwood.node import program

    return program.run(EARLY_SIGNALS)


for _number in (signal.SIGHUP, signal.SIGTERM):
    signal.signal(_number, lambda number, frame: EARLY_SIGNALS.append(number))

if __name__ == "__main__":
    sys.exit(main())
