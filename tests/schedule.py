"""Defines the order in which the test files run, and which of them run alone."""

from collections.abc import Sequence

# Files that must not run at the same time as others, each with the reason.
ALONE = {
    "test_deploy.py": "asserts that nothing in petrelwood/ is written; another process may write byte code",
    "test_shutdown.py": "kills a process 0.7 s of real time after its longest timeout, even if delayed",
    "test_soak.py": "kills processes by real time, as test_shutdown.py does",
    "test_flood.py": "gives the dispatcher a fifth of one core, beside busy processes of its own",
    "test_larger_fleet.py": "opens thousands of connections; asserts the share served in real time",
}
# Seconds that the longest files take, with five files at a time on ten busy cores. The longest start first,
# so that no long file is left when the others have ended. Files not listed take less time than each of these.
SECONDS = {
    "test_handover.py": 75,
    "test_cold_budget.py": 53,
    "test_mqtt.py": 52,
    "test_crossings.py": 51,
    "test_audit.py": 50,
    "test_node.py": 44,
    "test_memory_limit.py": 40,
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
    """Return the files that run in parallel, the longest first, and those that run alone after them."""
    parallel = [file for file in files if file not in ALONE]
    parallel.sort(key=lambda file: -SECONDS.get(file, 0))
    return parallel, [file for file in files if file in ALONE]


def module_of(test: str) -> str:
    """Return the module of a test id; the id is `unittest.loader._FailedTest.test_x` if its import failed."""
    parts = test.split(".")
    return parts[-1] if parts[0] == "unittest" else parts[0]
