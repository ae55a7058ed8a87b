"""Scale tests: what each role costs against the size of the fleet, by hollow dispatchers and workers.

    python -m benchmarks.scale [--out FOLDER] [--only SCENARIO] [--small]

`size.py` is the size that everything is held against. A scenario is a module here whose `jobs(plan)` gives
`plan.Job`s; each job is played in a process of its own and gives a `plan.Outcome`. Its name stands in
`__main__.SCENARIOS`. A scenario with a fleet of its own kind subclasses `fleet.HollowFleet`: `make_core`
makes its dispatchers, `at` schedules what happens to it, `traffic.count` and `processor.measure` take any
name of a flow or of a kind of work, and `events.Watch` looks at it while it is played."""
