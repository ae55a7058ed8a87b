"""Says in which order the test files run, and which of them run alone."""

from collections.abc import Sequence

# Files that nothing may run beside, each with the reason.
ALONE = {
    "test_deploy.py": "holds that nothing in petrelwood/ is written; a process beside it may write byte code",
    "test_shutdown.py": "kills a process by real time, 0.7 s after its longest timeout, held up or not",
    "test_soak.py": "kills processes by real time, as test_shutdown.py does",
    "test_larger_fleet.py": "thousands of connections; judges the share served by real time on all cores",
}
# Seconds of the longest files, measured with five side by side on ten busy cores. They begin first, so that
# no long one is left over when the others are done; a file that is not named takes less than each of these.
SECONDS = {
    "test_handover.py": 75,
    "test_cold_budget.py": 53,
    "test_mqtt.py": 52,
    "test_crossings.py": 51,
    "test_audit.py": 50,
    "test_node.py": 44,
    "test_speaker.py": 40,
    "test_early.py": 38,
    "test_emulator.py": 38,
    "test_scale.py": 33,
    "test_clock_steps.py": 31,
    "test_descriptor_exhaustion.py": 31,
    "test_system_calls_of_serve.py": 30,
    "test_configuration_servers.py": 29,
    "test_configuration_scale.py": 25,
    "test_sockets.py": 24,
    "test_ration.py": 22,
    "test_system_calls.py": 20,
    "test_run_tests.py": 15,
    "test_walk.py": 14,
    "test_bgp.py": 13,
    "test_fleet_faults.py": 13,
    "test_state.py": 12,
    "test_config.py": 11,
    "test_final_answers.py": 11,
    "test_restart_readiness.py": 11,
    "test_store.py": 11,
    "test_crowds.py": 10,
    "test_store_faults.py": 10,
}


def split(files: Sequence[str]) -> tuple[list[str], list[str]]:
    """Return the files that run side by side, the longest first, and those that run alone after them."""
    beside = [file for file in files if file not in ALONE]
    beside.sort(key=lambda file: -SECONDS.get(file, 0))
    return beside, [file for file in files if file in ALONE]


def module_of(test: str) -> str:
    """Return the module of a test id, which is `unittest.loader._FailedTest.test_x` if its import fails."""
    parts = test.split(".")
    return parts[-1] if parts[0] == "unittest" else parts[0]
