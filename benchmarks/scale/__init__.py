"""Scale tests: measure the cost of each role by fleet size, with hollow (simulated) dispatchers and workers.

    python -m benchmarks.scale [--out FOLDER] [--only SCENARIO] [--small]

`size.py` has the design size that all results are compared with. A scenario is a module of this package,
listed in `__main__.SCENARIOS`, whose `jobs(plan)` returns `plan.Job`s; each job runs in a process of its own
and returns a `plan.Outcome`. A scenario that needs a special fleet subclasses `fleet.HollowFleet`:
`make_core` creates its dispatchers, `at` schedules events, `traffic.count` and `processor.measure` take any
name of a flow or of a kind of work, and `events.Watch` observes the fleet while it runs."""
