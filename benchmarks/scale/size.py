"""The size that the project is designed for, written once: tests, the scale tests and the page read it.

Times are in seconds, memory and messages in bytes, rates a second, unless a name says otherwise. What is
given is under "the size"; what is ours, because the size does not tell it, is under "assumptions" and is
named so wherever it changes a verdict."""

from typing import NamedTuple

SECONDS_A_DAY = 86_400
KB, MB = 1_000, 1_000_000

# The size.
DISPATCHERS = 400
INSTANCES = 94_000  # instances (copies) of functions over all workers
FUNCTIONS = 13_000
CALLS_A_SECOND = 37_000  # over all dispatchers
RARE_CALL_EVERY = 60.0  # most functions are called less than once in so long
COLD_START_WITHIN = 0.39
COLD_START_SHARE = 0.99  # of the cold starts that are over by then
REGIONS = 2
ZONES = 6  # over all regions
CONFIGURATION_CHANGES_A_DAY = 740
CONFIGURATION_IN_FORCE_WITHIN = 13.0  # from a change's entry until it is in force at every dispatcher
CONTROL_MACHINES = 5

# What one dispatcher may spend on control: membership, configuration, health, all that is no call.
CONTROL_CORE_SHARE = 0.036  # of one core
CONTROL_MEMORY = 128 * MB
CONTROL_BYTES_A_SECOND = 21 * KB

# Failures.
FAILED_MACHINES_A_DAY = 2
RESTARTED_MACHINES_A_DAY = 130  # restarted or replaced on purpose
RACK_OR_SWITCH_EVERY_DAYS = (30, 60)  # one of either, in so many days
ZONE_LOST_A_YEAR = (1, 2)
REGIONS_APART_FOR = 3_600.0  # now and then

# Follows from the size.
CALLS_A_SECOND_A_DISPATCHER = CALLS_A_SECOND / DISPATCHERS
RARE_CALLS_A_SECOND = FUNCTIONS / RARE_CALL_EVERY  # at most, if all functions were rare ones
INSTANCES_A_FUNCTION = INSTANCES / FUNCTIONS
DISPATCHERS_A_ZONE = -(-DISPATCHERS // ZONES)
DISPATCHERS_A_REGION = DISPATCHERS // REGIONS
ZONES_A_REGION = ZONES // REGIONS
MEMBER_CHANGES_A_DAY = FAILED_MACHINES_A_DAY + RESTARTED_MACHINES_A_DAY
CONFIGURATION_CHANGE_EVERY = SECONDS_A_DAY / CONFIGURATION_CHANGES_A_DAY


class FleetReading(NamedTuple):
    """How many workers the instances stand on. An assumption."""

    name: str
    workers: int

    @property
    def instances_a_worker(self):
        """Instances that one worker holds, the mean."""
        return INSTANCES / self.workers


# Assumptions. The size tells instances and not workers: what depends on them is worked out for each reading.
LARGE_WORKERS = FleetReading("1,000 workers of 94 instances", 1_000)
MIDDLE_WORKERS = FleetReading("4,000 workers of about 24 instances", 4_000)
SINGLE_INSTANCE_WORKERS = FleetReading("94,000 workers of one instance", INSTANCES)
FLEET_READINGS = (LARGE_WORKERS, MIDDLE_WORKERS, SINGLE_INSTANCE_WORKERS)

ASSUMED_WORKERS_A_RACK = 40
ASSUMED_RACKS_A_SWITCH = 2
ASSUMED_EVENTS_A_RESTART = 2  # told by the list: it is gone, it is back
ASSUMED_CALL_WORK = 0.030  # of a worker's core, for one call
ASSUMED_REGION_DELAY = 0.010  # one way, from one region to the other
ASSUMED_ZONE_DELAY = 0.0006  # one way, between zones of a region
ASSUMED_OPERATIONS_A_CORE_SECOND = 20_000_000  # byte-code instructions that one core executes in a second
CONTROL_OPERATIONS_A_SECOND = CONTROL_CORE_SHARE * ASSUMED_OPERATIONS_A_CORE_SECOND
