"""The results of a day in the emulator: a flat row of figures, and a check that nothing was lost."""

import collections
from dataclasses import asdict

from petrelwood.decide.forecasting.account import LoadEnd

SECOND = 1_000_000_000
LATE, OVER = 0.3, 0.1  # share of the utility of a late answer, and of a request beyond its customer's share


def utility(platform, request):
    """Return (utility gained, utility requested) of one request."""
    asked = request.value * (OVER if request.over_share else 1.0)
    if request.ended != "completed":
        return 0.0, asked
    target = platform.types[request.kind.type].target_latency
    return asked * (1.0 if request.took <= target else LATE), asked


def recovery(platform):
    """Return the seconds from the end of the last fault until the service has recovered.

    It has recovered once its mean over three seconds is 0.9 of the mean before the first fault; if it never
    does, the rest of the day counts. 0 without faults.
    """
    troubles = [t for t in platform.day.troubles if t.at >= 3 * SECOND]
    if not troubles:
        return 0.0
    shares = collections.defaultdict(lambda: [0.0, 0.0])
    for request in platform.clients.requests:
        gained, asked = utility(platform, request)
        shares[request.begun // SECOND][0] += gained
        shares[request.begun // SECOND][1] += asked
    first, end = min(t.at for t in troubles) // SECOND, max(t.at + t.span for t in troubles) / SECOND
    last = platform.day.length // SECOND

    def mean(seconds):
        got, asked = (sum(shares[s][i] for s in seconds) for i in (0, 1))
        return got / asked if asked else 1.0

    before = mean(range(1, first))
    for second in range(int(end), last - 2):
        if mean(range(second, second + 3)) >= 0.9 * before:
            return max(0.0, second - end)
    return last - end


def row(platform):
    """Return the figures of a day that has been played."""
    requests, ends = platform.clients.requests, collections.Counter()
    got = asked = 0.0
    windows, customers, took = (
        collections.defaultdict(lambda: [0.0, 0.0]),
        collections.defaultdict(lambda: [0.0, 0.0]),
        [],
    )
    for request in requests:
        ends[request.ended] += 1
        gained, all_ = utility(platform, request)
        got, asked = got + gained, asked + all_
        for table, key in ((windows, request.begun // (5 * SECOND)), (customers, request.client.name)):
            table[key][0] += gained
            table[key][1] += all_
        if request.ended == "completed":
            took.append(request.took)
    took.sort()
    cores = list(platform.cores.values())
    counts = collections.Counter()
    for core in cores:
        counts.update(asdict(core.outlet.counts))
        counts.update({f"pending {k}": v for k, v in core.pending.counts.items()})
    share = [a / b for a, b in windows.values() if b > 0]
    figures = {
        "service": got / asked if asked else 0.0,
        "worst 5 s": min(share, default=0.0),
        "worst customer": min((a / b for a, b in customers.values() if b > 0), default=0.0),
        "wishes": len(requests),
        "tries": sum(w.tries for w in requests),
        "completed": ends["completed"],
        "rejected": ends["rejected"],
        "aborted": ends["aborted"],
        "left": ends["left"],
        "broken": ends["broken"] + ends["conflict"],
        "open": ends[None],
        "sends": counts["sends"],
        "orders": counts["orders"],
        "probes": counts["probes"],
        "overdue": counts["pending overdue"],
        "twice": counts["pending twice"],
        "defects": platform.log.counts["defect"],
        "fetched": platform.store.counts["fetched"],
        "fetches refused": platform.store.counts["refused"],
        "loads": sum(n.machine.counts["loads"] for n in platform.nodes.values() if n.machine),
        "fallen": sum(n.machine.fallen for n in platform.nodes.values() if n.machine),
        "events": platform.events,
    }
    early = [c.forecasts.early for c in cores if c.forecasts is not None]
    figures["early loads"] = sum(e.ordered for e in early)
    figures["early refused"] = sum(e.rejected for e in early)
    for end in LoadEnd:
        figures[f"early {end}"] = sum(e.account.total.end_counts[end] for e in early)
    figures["early balance s"] = sum(e.account.total.seconds for e in early)
    seen = [c["fetched"] for c in platform.time_course if "fetched" in c]
    figures["fetched in the busiest 5 s"] = max(
        (b - a for a, b in zip([0] * 5 + seen, seen, strict=False)), default=0
    )
    figures["cold starts"] = platform.cold_starts
    listening = [c for c in platform.day.clients if c.honours >= 0.5]
    got, asked = (sum(customers[c.name][i] for c in listening) for i in (0, 1))
    figures["service of listeners"] = got / asked if asked else figures["service"]
    figures["recovers s"] = recovery(platform)
    figures["cuts"] = sum(c.intake.concurrency_limit.cuts for c in cores)
    figures["over budget"] = (
        sum(c.intake.retry_policy.counts["over budget"] for c in cores) + counts["over_budget"]
    )
    for part in (50, 90, 99):
        figures[f"p{part} ms"] = took[min(len(took) - 1, len(took) * part // 100)] / 1e6 if took else 0.0
    return figures


def conserved(platform):
    """Return the inconsistencies of the platform's counts at any time of a day; empty if they add up."""
    wrong = []
    for node in platform.nodes.values():
        machine = node.machine
        if machine is None:
            continue
        copies = [c for held in machine.copies.values() for c in held]
        stale = {id(j.copy): j.copy for j in machine.at_work.values() if j.copy.stale}
        size = sum(c.model.size for c in copies) + sum(
            platform.model(name).size * n for name, n in machine.loading.items()
        )
        if size > machine.build.memory or machine.used < size and not stale:
            wrong.append(f"{node.name}: {machine.used} bytes used, copies and loads take {size}")
        busy = sum(c.busy for c in copies) + sum(c.busy for c in stale.values() if c not in copies)
        if busy != len(machine.at_work):
            wrong.append(f"{node.name}: {busy} lanes busy, {len(machine.at_work)} activations at work")
        if any(c.busy > c.model.lanes or c.busy < 0 for c in copies):
            wrong.append(f"{node.name}: a copy has more activations than lanes")
        if machine.waiting != sum(map(len, machine.queue.values())):
            wrong.append(
                f"{node.name}: {machine.waiting} said to wait, {sum(map(len, machine.queue.values()))} do"
            )
        if any(j.left > j.work + 1 for j in machine.at_work.values()):
            wrong.append(f"{node.name}: work grew")
    for name, core in platform.cores.items():
        counts = core.pending.counts
        ended = counts["completed"] + counts["rejected"] + counts["aborted"] + counts["left"]
        if counts["taken"] != ended + len(core.pending.activations):
            wrong.append(
                f"{name}: {counts['taken']} taken, {ended} ended, {len(core.pending.activations)} open"
            )
        if core.intake.unanswered != len(core.pending.activations):
            wrong.append(f"{name}: {core.intake.unanswered} held, {len(core.pending.activations)} owed")
    return wrong
