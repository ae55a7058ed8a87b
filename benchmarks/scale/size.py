"""The size that the project is designed for: the single source for tests, the scale tests and the page.

Times are in seconds, memory and messages in bytes, rates per second, unless a name says otherwise. Given
requirements are under "The size"; values that they don't specify are under "Assumptions", and reports mark
them as assumptions wherever they change a verdict."""

from typing import NamedTuple

SECONDS_A_DAY = 86_400
KB, MB = 1_000, 1_000_000

# The size.
DISPATCHERS = 400
INSTANCES = 94_000  # instances (copies) of functions over all workers
FUNCTIONS = 13_000
CALLS_A_SECOND = 37_000  # over all dispatchers
RARE_CALL_EVERY = 60.0  # most functions are called less than once per interval of this length
COLD_START_WITHIN = 0.39  # limit on the duration of a cold start
COLD_START_SHARE = 0.99  # share of cold starts that must end within COLD_START_WITHIN
REGIONS = 2
ZONES = 6  # over all regions
CONFIGURATION_CHANGES_A_DAY = 740
CONFIGURATION_IN_FORCE_WITHIN = 13.0  # from entering a change until it is in force at every dispatcher
CONTROL_MACHINES = 5

# Budget of one dispatcher for control: membership, configuration, health and all else that is not a call.
CONTROL_CORE_SHARE = 0.036  # share of one core
CONTROL_MEMORY = 128 * MB
CONTROL_BYTES_A_SECOND = 21 * KB

# Failures.
FAILED_MACHINES_A_DAY = 2
RESTARTED_MACHINES_A_DAY = 130  # restarted or replaced on purpose
RACK_OR_SWITCH_EVERY_DAYS = (30, 60)  # days between two failures of a rack or a switch, from and to
ZONE_LOST_A_YEAR = (1, 2)  # failures of a zone per year, from and to
REGIONS_APART_FOR = 3_600.0  # duration of an occasional network partition between the regions

# Values that follow from the size.
CALLS_A_SECOND_A_DISPATCHER = CALLS_A_SECOND / DISPATCHERS
RARE_CALLS_A_SECOND = FUNCTIONS / RARE_CALL_EVERY  # upper bound: if all functions were rarely called
INSTANCES_A_FUNCTION = INSTANCES / FUNCTIONS
DISPATCHERS_A_ZONE = -(-DISPATCHERS // ZONES)
DISPATCHERS_A_REGION = DISPATCHERS // REGIONS
ZONES_A_REGION = ZONES // REGIONS
MEMBER_CHANGES_A_DAY = FAILED_MACHINES_A_DAY + RESTARTED_MACHINES_A_DAY
CONFIGURATION_CHANGE_EVERY = SECONDS_A_DAY / CONFIGURATION_CHANGES_A_DAY


class FleetReading(NamedTuple):
    """An assumed number of workers over which the instances are distributed."""

    name: str
    workers: int

    @property
    def instances_a_worker(self):
        """Mean number of instances on one worker."""
        return INSTANCES / self.workers


# Assumptions. The size gives the number of instances but not of workers, so figures that depend on workers
# are calculated for each of these readings.
LARGE_WORKERS = FleetReading("1,000 workers of 94 instances", 1_000)
MIDDLE_WORKERS = FleetReading("4,000 workers of about 24 instances", 4_000)
SINGLE_INSTANCE_WORKERS = FleetReading("94,000 workers of one instance", INSTANCES)
FLEET_READINGS = (LARGE_WORKERS, MIDDLE_WORKERS, SINGLE_INSTANCE_WORKERS)

ASSUMED_WORKERS_A_RACK = 40
ASSUMED_RACKS_A_SWITCH = 2
ASSUMED_EVENTS_A_RESTART = 2  # changes of the list: the worker leaves, the worker returns
ASSUMED_CALL_WORK = 0.030  # time of a worker's core for one call
ASSUMED_REGION_DELAY = 0.010  # one way, from one region to the other
ASSUMED_ZONE_DELAY = 0.0006  # one way, between zones of a region
ASSUMED_OPERATIONS_A_CORE_SECOND = 20_000_000  # byte-code instructions that one core executes per second
CONTROL_OPERATIONS_A_SECOND = CONTROL_CORE_SHARE * ASSUMED_OPERATIONS_A_CORE_SECOND
