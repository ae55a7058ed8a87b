"""Which of a worker's connections carries a send, and when another one is opened.

One send to a connection as long as there is room for connections: where an answer comes spoilt its connection
is of no further use, and whatever else is open on it may have run. Only where the budget of descriptors is
used up do sends share, the least loaded connection first."""

# ids that a connection has carried and remembers: an answer to one is not taken for another send of it
KEPT = 8
CONNECTING = 4  # connections of one worker that may be coming up at a time


def remembers(line, tag):
    """Notes on a connection that it carries this id."""
    line.carried[tag] = True
    if len(line.carried) > KEPT:
        del line.carried[next(iter(line.carried))]


def pick(lines, tag, streams, may_open):
    """The connection for a send, or None where it should wait for one that is free or comes up. `lines`:
    those of its worker, the last used at the end; `may_open`: whether another one may be opened."""
    best = None
    for line in reversed(lines):
        if not line.open and line.up and tag not in line.carried:
            return line
    if may_open:
        return None
    for line in reversed(lines):
        if line.up and tag not in line.carried and (best is None or len(line.open) < len(best.open)):
            best = line
    return best if best is not None and len(best.open) < streams else None
