"""The five rules, checked against the records of the stand-ins; a dispatcher's own output isn't read.

Records (one JSON line each): the portal's `ask`, `answer`, `left`, `broken`, `replayed`; a worker's `up`,
`run` (a send arrived), `ran` (how it ended there), `hold` (a load order), `counts`; the roster's `told` (news
of workers sent to a dispatcher); the devices' `mask` and `manswer` (an activation by MQTT and its answer);
the broker's `published` and `delivered`; the operator's `killed`. Times are from one monotonic clock, in ns.
"""

import bisect
import collections
import pathlib

import orjson

from petrelwood import ports

SLACK = 500_000_000  # ns that a busy machine may take between an event and its record in another process
NEVER_RAN = ("full", "missing", "draining")  # results of a worker that prove that nothing ran
FINAL_STATUSES = (200, 429, 503, 504)
NAMES = {
    1: "one final answer in time, no send after it",
    2: "no effect twice",
    3: "drains are kept",
    4: "no cold worker pushed over",
    5: "load orders in their ration",
}


class Finding:
    """The result of one rule: how many cases were `looked` at, and a text for each violation in `broken`."""

    def __init__(self, rule):
        self.rule, self.looked, self.broken = rule, 0, []

    def breaks(self, text):
        """Add a violation."""
        self.broken.append(text)


def load(folder):
    """Return all records of a folder, in order of time."""
    records = []
    for path in sorted(pathlib.Path(folder).glob("*.jsonl")):
        for line in path.read_bytes().splitlines():
            try:
                records.append(orjson.loads(line))
            except orjson.JSONDecodeError:
                continue  # a killed process may leave its last line incomplete
    return sorted(records, key=lambda r: r["at"])


class Case:
    """The records of a run, indexed for the rules.

    `terms`: a `ports.Terms`; `works`: namespace type -> mean work in ns; `away`: periods (begin, end) in
    which the broker was down on purpose.
    """

    def __init__(self, records, terms, drain_grace, build, works, away=()):
        self.terms, self.grace, self.build, self.works = terms, drain_grace, build, works
        self.records, self.away = records, away
        self.by_type = collections.defaultdict(list)
        for record in records:
            self.by_type[record["t"]].append(record)
        self.ends = {(r["act"], r["n"]): r for r in self.by_type["ran"]}
        self.runs = collections.defaultdict(list)
        self.sends = collections.defaultdict(list)
        for run in self.by_type["run"]:
            self.runs[run["mark"]].append(run)
            self.sends[run["act"]].append(run)
        self.zones = {r["worker"]: (r["zone"], r["cell"]) for r in self.by_type["worker"]}
        self.kills = collections.defaultdict(list)
        for record in self.by_type["killed"]:
            self.kills[record["name"]].append(record["at"])

    def killed(self, name, begin, end):
        """Return whether a process was killed in a period, give or take `SLACK`."""
        return any(begin - SLACK <= at <= end + SLACK for at in self.kills[name])

    def may_have_run(self, run):
        """Return whether a dispatcher must assume that a send ran, since it wasn't told the contrary."""
        end = self.ends.get((run["act"], run["n"]))
        return end is None or end["word"] not in NEVER_RAN or end["muted"]


def one_answer(case):
    """Check rule 1: each request has one final answer within its patience, and no send follows it."""
    found = Finding(1)
    ends = collections.defaultdict(list)
    for kind in ("answer", "left", "broken"):
        for record in case.by_type[kind]:
            ends[record["key"], record["stamp"]].append((kind, record))
    statuses, answered = collections.defaultdict(set), {}
    for ask in case.by_type["ask"]:
        found.looked += 1
        key = ask["key"], ask["stamp"]
        got = ends.get(key, [])
        if len(got) != 1:
            if not got and case.killed(ask["to"], ask["at"], ask["at"] + 2 * ask["patience"]):
                continue
            found.breaks(f"{key[0]} at {key[1]}: {len(got)} ends")
            continue
        kind, record = got[0]
        took = record["at"] - ask["at"]
        if kind == "answer":
            if ask["wrong"]:
                if record["status"] != 401:
                    found.breaks(f"{key[0]}: a wrong signature was answered {record['status']}")
                continue
            if record["status"] not in FINAL_STATUSES and record["status"] != 409:
                found.breaks(f"{key[0]}: answered {record['status']}")
            if took > ask["patience"] + SLACK // 5:
                found.breaks(
                    f"{key[0]}: answered {took / 1e9:.2f} s after the request, patience was "
                    f"{ask['patience'] / 1e9:.2f} s"
                )
            if record["act"]:
                statuses[record["act"]].add(record["status"])
                answered[record["act"]] = min(record["at"], answered.get(record["act"], record["at"]))
        elif kind == "left" and not ask["leaves"]:
            found.breaks(
                f"{key[0]}: no answer in {took / 1e9:.2f} s, patience was {ask['patience'] / 1e9:.2f} s"
            )
        elif kind == "broken" and record["sent"] and not case.killed(ask["to"], ask["at"], record["at"]):
            found.breaks(f"{key[0]}: the connection broke, and {ask['to']} had not been killed")
    for act, several in statuses.items():
        if len(several - {504}) > 1 or 200 in several and 503 in several:
            found.breaks(f"{act}: different final answers {sorted(several)}")
    for act, at in answered.items():
        for run in case.sends[act]:
            if run["at"] > at + SLACK:
                found.breaks(f"{act}: sent to {run['who']} {(run['at'] - at) / 1e9:.2f} s after its answer")
    _one_answer_by_mqtt(case, found)
    for replay in case.by_type["replayed"]:
        found.looked += 1
        # 503: a dispatcher accepts no request that was signed before it started
        if replay["status"] not in (409, 400, 503):
            found.breaks(f"{replay['key']}: a replay was answered {replay['status']}")
    return found


def _one_answer_by_mqtt(case, found):
    """Check rule 1 for MQTT: each message delivered to a dispatcher has one answer in time.

    No answer is required if the dispatcher that held the message was killed, or if the broker was down in the
    message's lifetime; two are never allowed. Answers are counted as dispatchers published them, because
    the broker may deliver one of QoS 1 twice, marked DUP, when the device's own connection breaks.
    """
    published = collections.Counter(
        r["correlation"] for r in case.by_type["published"] if r["topic"].startswith("reply/")
    )
    answers, numbers, holders = collections.defaultdict(list), {}, collections.defaultdict(list)
    for answer in case.by_type["manswer"]:
        answers[answer["key"]].append(answer)
    for record in case.by_type["published"]:
        if record["topic"].startswith("act/"):
            numbers[record["message"]] = record["correlation"]
    for record in case.by_type["delivered"]:
        if record["message"] in numbers:
            holders[numbers[record["message"]]].append(record)
    for ask in case.by_type["mask"]:
        found.looked += 1
        got, had = answers[ask["key"]], holders[ask["key"]]
        ends = ask["at"] + ask["patience"]
        if published[ask["key"]] > 1:
            found.breaks(
                f"message {bytes.fromhex(ask['key']).decode()}: {published[ask['key']]} answers, "
                f"{[a['status'] for a in got]}"
            )
        away = any(begin - SLACK <= ends and ask["at"] <= end + 4 * SLACK for begin, end in case.away)
        if not got and had and not away:
            if not any(case.killed(h["client"].split(".")[0], h["at"], ends) for h in had):
                found.breaks(
                    f"message {bytes.fromhex(ask['key']).decode()}: no answer, and {had[-1]['client']} had it"
                )
        elif got and got[0]["at"] > ends + SLACK // 5 and not away:
            found.breaks(
                f"message {bytes.fromhex(ask['key']).decode()}: answered "
                f"{(got[0]['at'] - ends) / 1e9:.2f} s after its time"
            )


def no_effect_twice(case):
    """Check rule 2: no once-only or deduplicated activation takes effect twice.

    Once an activation may have run, a once-only one isn't sent again, and a deduplicated one only within its
    scope and window. Neither is rejected then, except a deduplicated one whose scope is "all".
    """
    found = Finding(2)
    for mark, runs in case.runs.items():
        type_ = case.terms.types[runs[0]["type"]]
        if type_.effect == ports.Effect.REPEATABLE:
            continue
        found.looked += 1
        first = None
        for run in runs:
            if first is not None:
                if type_.effect == ports.Effect.ONCE_ONLY:
                    found.breaks(
                        f"{mark}: sent to {first['who']} where it may have run, then to {run['who']}"
                    )
                elif type_.scope != "all" and _group(case, type_, run) != _group(case, type_, first):
                    found.breaks(
                        f"{mark}: may have run on {first['who']}, then sent to {run['who']}, another group"
                    )
                elif run["at"] - first["at"] > type_.window + SLACK:
                    found.breaks(
                        f"{mark}: sent again {(run['at'] - first['at']) / 1e9:.2f} s after the first"
                    )
            if first is None and case.may_have_run(run):
                first = run
    for answer in case.by_type["answer"]:
        if answer["status"] not in (429, 503) or not answer["act"]:
            continue
        for run in case.sends[answer["act"]]:
            type_ = case.terms.types[run["type"]]
            must_not_reject = (
                type_.effect == ports.Effect.ONCE_ONLY
                or type_.effect == ports.Effect.DEDUPLICATED
                and type_.scope != "all"
            )
            if must_not_reject and case.may_have_run(run) and run["at"] < answer["at"]:
                found.breaks(f"{answer['key']}: rejected, though it may have run on {run['who']}")
    return found


def _group(case, type_, run):
    return case.zones[run["who"]][0 if type_.scope == "zone" else 1]


def drains(case):
    """Check rule 3: no send or load order to a worker that the dispatcher was told is draining or gone.

    Both are tolerated for the drain grace after the news.
    """
    found = Finding(3)
    states, told = {}, collections.defaultdict(list)  # told: (dispatcher, worker) -> [(at, usable)]
    for record in case.by_type["told"]:
        to, named = record["to"], set()
        for worker, state, _ in record["entries"]:
            named.add(worker)
            states[to, worker] = state
            told[to, worker].append((record["at"], state == "usable"))
        if record["kind"] == "list":
            for (who, worker), state in list(states.items()):
                if who == to and worker not in named and state == "usable":
                    states[to, worker] = "gone"
                    told[to, worker].append((record["at"], False))
    for record in case.by_type["run"] + [r for r in case.by_type["hold"] if r["count"]]:
        found.looked += 1
        news = told.get((record["by"], record["who"]), [])
        at = bisect.bisect_right(news, (record["at"], True)) - 1
        since = None
        while at >= 0 and not news[at][1]:
            since, at = news[at][0], at - 1
        if since is not None and record["at"] > since + case.grace + SLACK:
            found.breaks(
                f"{record['by']} sent to {record['who']} {(record['at'] - since) / 1e9:.2f} s after it was "
                "told that it drains or is gone"
            )
    return found


def cold(case):
    """Check rule 4: no freshly booted worker is overloaded in its warm-up.

    The work sent within `slow_start_window` may exceed what the worker can bear by a quarter. More breaks the
    rule if two thirds of that work came from dispatchers which had been told of the boot. A worker that fell
    over breaks it too.
    """
    found = Finding(4)
    bounds, build = case.terms.guarantees, case.build
    for up in case.by_type["up"]:
        if not up["booted"]:
            continue
        told_at = {}
        for record in case.by_type["told"]:
            for worker, _, booted in record["entries"]:
                if worker == up["who"] and booted == up["booted"]:
                    told_at.setdefault(record["to"], record["at"])
        window, total_work = collections.deque(), 0
        for run in case.by_type["run"]:
            if run["who"] != up["who"] or not up["at"] <= run["at"] <= up["at"] + bounds.warm_up_time:
                continue
            found.looked += 1
            work = case.works[run["type"]]
            window.append((run["at"], work, run["at"] >= told_at.get(run["by"], run["at"] + 1)))
            total_work += work
            while run["at"] - window[0][0] > bounds.slow_start_window:
                total_work -= window.popleft()[1]
            capacity_share = (
                bounds.initial_capacity_share
                + (1 - bounds.initial_capacity_share) * (run["at"] - up["at"]) / bounds.warm_up_time
            )
            max_work = (
                bounds.crash_load_multiple
                * build.cores
                * build.speed
                * capacity_share
                * bounds.slow_start_window
                * 1.25
            )
            if total_work > max_work and sum(w for _, w, known in window if known) * 3 >= 2 * total_work:
                found.breaks(
                    f"{up['who']} was sent {total_work / 1e9:.2f} s of work in "
                    f"{bounds.slow_start_window / 1e9:.1f} s, "
                    f"{(run['at'] - up['at']) / 1e9:.2f} s after its start; it bears {max_work / 1e9:.2f}"
                )
                window.clear()
                total_work = 0
    for counts in case.by_type["counts"]:
        if counts.get("fallen"):
            found.breaks(f"{counts['who']} fell over")
    return found


def ration(case):
    """Check rule 5: each dispatcher's load orders stay within the ration of any period of `orders.period`."""
    found = Finding(5)
    orders = case.terms.orders
    if not orders.period:
        return found
    asks, holds = collections.defaultdict(list), collections.defaultdict(list)
    for ask in case.by_type["ask"]:
        asks[ask["to"]].append(ask["at"])
    for taken in case.by_type["delivered"]:  # a message delivered to a dispatcher counts as a request
        name = taken["client"].split(".")[0]
        asks[name].append(taken["at"])
    for times in asks.values():
        times.sort()
    for hold in case.by_type["hold"]:
        if hold["count"]:
            holds[hold["by"]].append(hold["at"])
    for name, times in holds.items():
        for i, at in enumerate(times):
            found.looked += 1
            if any(at - orders.period < kill <= at for kill in case.kills[name]):
                # the dispatcher restarted in this window, and each process has its own ration
                continue
            ordered = i + 1 - bisect.bisect_right(times, at - orders.period + SLACK // 10)
            taken = bisect.bisect_right(asks[name], at) - bisect.bisect_right(
                asks[name], at - orders.period - SLACK // 2
            )
            if ordered > orders.base_orders + orders.orders_per_activation * taken:
                found.breaks(
                    f"{name}: {ordered} orders in {orders.period / 1e9:.0f} s with {taken} activations"
                )
    return found


def judge(case):
    """Return a `Finding` for each rule."""
    return [rule(case) for rule in (one_answer, no_effect_twice, drains, cold, ration)]


def outcomes(case):
    """Return how tries ended, by namespace type: {type: {outcome: count}}.

    Also counts `sends`, and `sent` activations that had one or more.
    """
    types = {(r["key"], r["stamp"]): r["type"] for r in case.by_type["ask"]}
    table = collections.defaultdict(collections.Counter)
    names = {
        200: "completed",
        503: "rejected",
        429: "rejected",
        504: "aborted",
        401: "unsigned",
        409: "conflict",
    }
    for answer in case.by_type["answer"]:
        table[types[answer["key"], answer["stamp"]]][names.get(answer["status"], str(answer["status"]))] += 1
    asked = {r["key"]: r["type"] for r in case.by_type["mask"]}
    for answer in case.by_type["manswer"]:
        table[asked[answer["key"]]][answer["status"]] += 1
    for key in {answer["key"] for answer in case.by_type["manswer"]}:
        asked.pop(key)
    for type_ in asked.values():
        table[type_]["unanswered"] += 1
    for kind in ("left", "broken"):
        for record in case.by_type[kind]:
            table[types[record["key"], record["stamp"]]][kind] += 1
    for runs in filter(None, case.sends.values()):
        table[runs[0]["type"]]["sends"] += len(runs)
        table[runs[0]["type"]]["sent"] += 1
    return {name: dict(counts) for name, counts in sorted(table.items())}
