"""Where the time of a completed activation went, from records that emulator and stand-ins both make.

    earlier tries -> to the worker (network, held by the module) -> waited there (queue, load) -> at work ->
    answer's way

Only answers whose send is identified by its mark count; the stages of one add up to the time its client saw.
"""

from hdrh.histogram import HdrHistogram

STAGES = ("earlier tries", "to the worker", "waited there", "at work", "answer's way")
MILLISECOND = 1_000_000


def parts(records):
    """Yield the stage times in ns, in the order of `STAGES`, of each completed answer.

    `records`: in the order in which they were made.
    """
    first, arrived, done = {}, {}, {}
    for record in records:
        what = record["t"]
        if what == "ask":
            first.setdefault(record["key"], record["at"])
        elif what == "run":
            arrived[record["who"], record["act"], record["n"]] = record["at"]
        elif what == "ran" and record["word"] == "ok":
            came = arrived.pop((record["who"], record["act"], record["n"]), None)
            if came is not None:
                done[record["mark"]] = (came, record.get("waited", 0), record["at"])
        elif what == "answer" and record["status"] == 200:
            key = record["key"]
            if key not in done or key not in first:
                continue
            came, waited, ended = done.pop(key)
            asked, begun = record["at"] - record["took"], first[key]
            if begun <= asked <= came <= ended <= record["at"]:
                yield asked - begun, came - asked, waited, ended - came - waited, record["at"] - ended


def histograms(records):
    """Return {stage: HdrHistogram in ms} of a day."""
    found = {stage: HdrHistogram(1, 3_600_000, 3) for stage in STAGES}
    for times in parts(records):
        for stage, time in zip(STAGES, times, strict=True):
            found[stage].record_value(max(1, time // MILLISECOND))
    return found
