"""Checks the records of one play against the rules of the platform's protocol.

Clients and workers take their timestamps in an event loop that may itself be delayed on a busy machine. Rules
about the order of events need no clock; the time limits of the others are extended by the loop's longest
delay in that period.
"""

import signal
from collections import Counter, defaultdict
from collections.abc import Iterator

from benchmarks.soak.peers import error_lines
from benchmarks.soak.plan import DRAIN_GRACE, Front, Plan, WorkerTrouble
from benchmarks.soak.records import Arrival, ConnectionEnd, Play, Request

ANSWER_SLACK = 0.5  # s after the allowed time within which a late answer has no utility but breaks no rule
CROSSING = 0.05  # s before the end of a connection within which a request may cross the close
LEAVING_SLACK = 0.1  # s after the answer, or after the client has left, in which an attempt may still begin
PROTOCOL_SLACK = 0.05  # s added to the protocol's time limits for transfer over sockets
DEDUPLICATION_WINDOW = 4.0  # s, as in the settings
UPGRADE_FAILED = 1  # exit code of a process that has handed back to its predecessor
SPARE_DESCRIPTORS = 1  # a roster's socket may be being replaced when descriptors are counted


def judge(plan: Plan, play: Play) -> list[str]:
    """Return the broken rules, one line for each finding."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in play.arrivals:
        arrivals[arrival.id].append(arrival)
    found = [
        *_process(plan, play),
        *play.unexpected_answers,
        *_descriptors(play),
        *_memory(plan, play),
        *_drained_workers(play),
    ]
    for request in play.requests:
        found += _final_answer(play, request)
        found += _effects(request, arrivals[request.id])
        found += _sends_after_the_end(plan, play, request, arrivals[request.id])
    return found


def _process(plan: Plan, play: Play) -> Iterator[str]:
    errors = error_lines(play.log)
    allowed_codes = {0}
    if not play.catches_sigterm:
        allowed_codes.add(-signal.SIGTERM)
    if plan.upgrades and plan.trouble is not WorkerTrouble.NONE:
        # a successor that serves worse than its predecessor hands back, which failing workers can cause
        handed_back = [line for line in errors if "upgrade failed" in line]
        errors = [line for line in errors if line not in handed_back]
        allowed_codes.update({UPGRADE_FAILED} if handed_back else ())
    if play.ended_at is None:
        yield f"it had not ended {plan.kill_after:.2f} s after SIGTERM, and was killed"
    elif play.exit_code not in allowed_codes:
        yield f"it ended with {play.exit_code}"
    yield from (f"its log: {line.strip()}" for line in errors)


def _final_answer(play: Play, request: Request) -> Iterator[str]:
    """Check that a request has one final answer in time.

    No answer is required if the client has left, or if the connection closed before the request was read.
    """
    label = f"{request.effect} {request.id}"
    after = f"sent {request.sent_at - play.terminated_at:+.3f} s after SIGTERM"
    if len(request.answers) > 1:
        yield f"{label}: {len(request.answers)} answers"
    elif request.answers:
        at, word = request.answers[0]
        took = at - request.sent_at
        if took > request.time_allowed + ANSWER_SLACK + play.lag(request.sent_at, at):
            yield f"{label}: {word} after {took:.3f} s, allowed {request.time_allowed:.3f} s, {after}"
    elif request.left_at is None and request.end is not ConnectionEnd.REFUSED:
        if request.ended_at is None:
            yield f"{label}: no answer, its connection is open, {after}"
            return
        open_for = request.ended_at - request.sent_at
        was_unread = request.end is ConnectionEnd.RESET
        if was_unread and open_for <= CROSSING + play.lag(request.sent_at, request.ended_at):
            return
        yield f"{label}: no answer, connection {request.end.name.lower()} {open_for:.3f} s later, {after}"


def _effects(request: Request, arrivals: list[Arrival]) -> Iterator[str]:
    """Check that a once-only request ran once, and a deduplicated one was repeated only within its window."""
    executed = [arrival for arrival in arrivals if arrival.executed]
    if request.effect == "once" and len(executed) > 1:
        yield f"once {request.id}: ran {len(executed)} times"
    if request.effect == "by_key" and executed:
        between = executed[-1].at - executed[0].at
        if between > DEDUPLICATION_WINDOW + PROTOCOL_SLACK:
            yield f"by_key {request.id}: sent again {between:.3f} s later"
    most_frequent = Counter((arrival.worker, arrival.at) for arrival in arrivals).most_common(1)
    if most_frequent and most_frequent[0][1] > 1:
        yield f"{request.effect} {request.id}: arrived twice at once"


def _sends_after_the_end(plan: Plan, play: Play, request: Request, arrivals: list[Arrival]) -> Iterator[str]:
    """Check that no attempt begins after the final answer or after the client has left.

    `petrelwood serve` continues requests that may not run twice, so that a returning client gets the result.
    """
    outlives_client = plan.front is Front.SERVE and request.effect != "repeatable"
    ends = [at for at, _ in request.answers]
    if request.left_at is not None and not outlives_client:
        ends.append(request.left_at)
    if not ends:
        return
    end = min(ends)
    for arrival in arrivals:
        late = arrival.at - end
        if late > LEAVING_SLACK + play.lag(end, arrival.at):
            yield f"{request.effect} {request.id}: reached {arrival.worker} {late:.3f} s after its end"


def _drained_workers(play: Play) -> Iterator[str]:
    for arrival in play.arrivals:
        told_at = play.drains.get(arrival.worker)
        if told_at is None:
            continue
        late = arrival.at - told_at
        if late > DRAIN_GRACE + PROTOCOL_SLACK + play.lag(told_at, arrival.at):
            yield f"{arrival.id}: reached {arrival.worker} {late:.3f} s after it was told to be draining"


def _descriptors(play: Play) -> Iterator[str]:
    first, last = play.first_descriptors, play.last_descriptors
    if first is not None and last is not None and last.own > first.own + SPARE_DESCRIPTORS:
        yield f"{last.own} descriptors beside its connections, {first.own} at the start"


def _memory(plan: Plan, play: Play) -> Iterator[str]:
    if plan.front is Front.NODE and play.peak_memory > plan.memory_mb << 20:
        yield f"{play.peak_memory / (1 << 20):.1f} MB of memory, {plan.memory_mb} allowed"
