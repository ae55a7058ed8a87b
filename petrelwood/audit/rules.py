"""The five rules, judged from what the stand-ins saw. No dispatcher's own word is read.

Records (one JSON line each): the portal's `ask`, `answer`, `left`, `broken`, `replayed`; a worker's `up`,
`run` (a send arrived), `ran` (how it ended there), `hold`, `counts`; the roster's `told`; the operator's
`killed`. Times are one monotonic clock in ns. `SLACK` is what a busy machine may take between two processes.
"""

import bisect
import collections
import pathlib

import orjson

from petrelwood import ports

SLACK = 500_000_000
NEVER = ("full", "missing", "draining")  # words of a worker that prove that nothing ran
FINAL = (200, 429, 503, 504)
NAMES = {
    1: "one final answer in time, no send after it",
    2: "no effect twice",
    3: "drains are kept",
    4: "no cold worker pushed over",
    5: "load orders in their ration",
}


class Finding:
    """One rule: how much was looked at, and what broke it."""

    def __init__(self, rule):
        self.rule, self.looked, self.broken = rule, 0, []

    def breaks(self, what):
        self.broken.append(what)


def load(folder):
    """All records of a folder, by time."""
    records = []
    for path in sorted(pathlib.Path(folder).glob("*.jsonl")):
        for line in path.read_bytes().splitlines():
            try:
                records.append(orjson.loads(line))
            except orjson.JSONDecodeError:
                continue  # the last line of a process that was killed
    return sorted(records, key=lambda r: r["at"])


class Case:
    """The records of a run, arranged for the rules. `terms`: ports.Terms; `works`: namespace type -> mean
    ns."""

    def __init__(self, records, terms, drain_grace, build, works, away=()):
        self.terms, self.grace, self.build, self.works = terms, drain_grace, build, works
        self.records, self.away = records, away  # when the broker was to be away: (begin, end)
        self.by = collections.defaultdict(list)
        for record in records:
            self.by[record["t"]].append(record)
        self.ends = {(r["act"], r["n"]): r for r in self.by["ran"]}
        self.runs = collections.defaultdict(list)
        self.sends = collections.defaultdict(list)
        for run in self.by["run"]:
            self.runs[run["mark"]].append(run)
            self.sends[run["act"]].append(run)
        self.zones = {r["worker"]: (r["zone"], r["cell"]) for r in self.by["worker"]}
        self.kills = collections.defaultdict(list)
        for record in self.by["killed"]:
            self.kills[record["name"]].append(record["at"])

    def killed(self, name, begin, end):
        return any(begin - SLACK <= at <= end + SLACK for at in self.kills[name])

    def may_have_run(self, run):
        end = self.ends.get((run["act"], run["n"]))
        return end is None or end["word"] not in NEVER or end["muted"]


def one_answer(case):
    found = Finding(1)
    ends = collections.defaultdict(list)
    for kind in ("answer", "left", "broken"):
        for record in case.by[kind]:
            ends[record["key"], record["stamp"]].append((kind, record))
    statuses, answered = collections.defaultdict(set), {}
    for ask in case.by["ask"]:
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
            if record["status"] not in FINAL and record["status"] != 409:
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
    for replay in case.by["replayed"]:
        found.looked += 1
        # 503: signed before the present life of the dispatcher, which takes no such thing
        if replay["status"] not in (409, 400, 503):
            found.breaks(f"{replay['key']}: a replay was answered {replay['status']}")
    return found


def _one_answer_by_mqtt(case, found):
    """Each message that a dispatcher took has one answer in time. None is owed where the dispatcher that had
    it was killed, or where the broker was away when its time was up; never two. Two are two that dispatchers
    have published: one of QoS 1 the broker may deliver to a device again, marked DUP, when the device's own
    connection breaks."""
    given = collections.Counter(
        r["correlation"] for r in case.by["published"] if r["topic"].startswith("reply/")
    )
    answers, numbers, holders = collections.defaultdict(list), {}, collections.defaultdict(list)
    for answer in case.by["manswer"]:
        answers[answer["key"]].append(answer)
    for record in case.by["published"]:
        if record["topic"].startswith("act/"):
            numbers[record["message"]] = record["correlation"]
    for record in case.by["delivered"]:
        if record["message"] in numbers:
            holders[numbers[record["message"]]].append(record)
    for ask in case.by["mask"]:
        found.looked += 1
        got, had = answers[ask["key"]], holders[ask["key"]]
        ends = ask["at"] + ask["patience"]
        if given[ask["key"]] > 1:
            found.breaks(
                f"message {bytes.fromhex(ask['key']).decode()}: {given[ask['key']]} answers, "
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
    for answer in case.by["answer"]:
        if answer["status"] not in (429, 503) or not answer["act"]:
            continue
        for run in case.sends[answer["act"]]:
            type_ = case.terms.types[run["type"]]
            bound = (
                type_.effect == ports.Effect.ONCE_ONLY
                or type_.effect == ports.Effect.DEDUPLICATED
                and type_.scope != "all"
            )
            if bound and case.may_have_run(run) and run["at"] < answer["at"]:
                found.breaks(f"{answer['key']}: rejected, though it may have run on {run['who']}")
    return found


def _group(case, type_, run):
    return case.zones[run["who"]][0 if type_.scope == "zone" else 1]


def drains(case):
    found = Finding(3)
    state, told = {}, collections.defaultdict(list)  # (dispatcher, worker) -> [(at, usable)]
    for record in case.by["told"]:
        to, named = record["to"], set()
        for worker, is_, _ in record["entries"]:
            named.add(worker)
            state[to, worker] = is_
            told[to, worker].append((record["at"], is_ == "usable"))
        if record["kind"] == "list":
            for (who, worker), is_ in list(state.items()):
                if who == to and worker not in named and is_ == "usable":
                    state[to, worker] = "gone"
                    told[to, worker].append((record["at"], False))
    for record in case.by["run"] + [r for r in case.by["hold"] if r["count"]]:
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
    found = Finding(4)
    guard, build = case.terms.guarantees, case.build
    for up in case.by["up"]:
        if not up["booted"]:
            continue
        knew = {}
        for record in case.by["told"]:
            for worker, _, booted in record["entries"]:
                if worker == up["who"] and booted == up["booted"]:
                    knew.setdefault(record["to"], record["at"])
        window, works = collections.deque(), 0
        for run in case.by["run"]:
            if run["who"] != up["who"] or not up["at"] <= run["at"] <= up["at"] + guard.warm_up_time:
                continue
            found.looked += 1
            work = case.works[run["type"]]
            window.append((run["at"], work, run["at"] >= knew.get(run["by"], run["at"] + 1)))
            works += work
            while run["at"] - window[0][0] > guard.slow_start_window:
                works -= window.popleft()[1]
            part = (
                guard.initial_capacity_share
                + (1 - guard.initial_capacity_share) * (run["at"] - up["at"]) / guard.warm_up_time
            )
            most = (
                guard.crash_load_multiple * build.cores * build.speed * part * guard.slow_start_window * 1.25
            )
            if works > most and sum(w for _, w, known in window if known) * 3 >= 2 * works:
                found.breaks(
                    f"{up['who']} was sent {works / 1e9:.2f} s of work in "
                    f"{guard.slow_start_window / 1e9:.1f} s, "
                    f"{(run['at'] - up['at']) / 1e9:.2f} s after its start; it bears {most / 1e9:.2f}"
                )
                window.clear()
                works = 0
    for counts in case.by["counts"]:
        if counts.get("fallen"):
            found.breaks(f"{counts['who']} fell over")
    return found


def ration(case):
    found = Finding(5)
    orders = case.terms.orders
    if not orders.period:
        return found
    asks, holds = collections.defaultdict(list), collections.defaultdict(list)
    for ask in case.by["ask"]:
        asks[ask["to"]].append(ask["at"])
    for taken in case.by["delivered"]:  # messages to dispatchers are asks too
        name = taken["client"].split(".")[0]
        asks[name].append(taken["at"])
    for times in asks.values():
        times.sort()
    for hold in case.by["hold"]:
        if hold["count"]:
            holds[hold["by"]].append(hold["at"])
    for name, times in holds.items():
        for i, at in enumerate(times):
            found.looked += 1
            if any(at - orders.period < kill <= at for kill in case.kills[name]):
                # two lives in one window, each with a ration of its own
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
    """A `Finding` for each rule."""
    return [rule(case) for rule in (one_answer, no_effect_twice, drains, cold, ration)]


def outcomes(case):
    """How tries ended, by namespace type: {type: {what: count}}; sends an activation among them."""
    types = {(r["key"], r["stamp"]): r["type"] for r in case.by["ask"]}
    table = collections.defaultdict(collections.Counter)
    names = {
        200: "completed",
        503: "rejected",
        429: "rejected",
        504: "aborted",
        401: "unsigned",
        409: "conflict",
    }
    for answer in case.by["answer"]:
        table[types[answer["key"], answer["stamp"]]][names.get(answer["status"], str(answer["status"]))] += 1
    asked = {r["key"]: r["type"] for r in case.by["mask"]}
    for answer in case.by["manswer"]:
        table[asked[answer["key"]]][answer["status"]] += 1
    for key in {answer["key"] for answer in case.by["manswer"]}:
        asked.pop(key)
    for type_ in asked.values():
        table[type_]["unanswered"] += 1
    for kind in ("left", "broken"):
        for record in case.by[kind]:
            table[types[record["key"], record["stamp"]]][kind] += 1
    for runs in filter(None, case.sends.values()):
        table[runs[0]["type"]]["sends"] += len(runs)
        table[runs[0]["type"]]["sent"] += 1
    return {name: dict(counts) for name, counts in sorted(table.items())}
