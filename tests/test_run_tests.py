"""Tests that the suite runner fails if a test or process fails, and runs exactly the existing tests."""

import contextlib
import io
import re
import subprocess
import sys
import tempfile
import textwrap
import time
import unittest
from pathlib import Path

import known_red
import run_tests
import schedule

PASSING = """
    import atexit, os, unittest
    class Good(unittest.TestCase):
        def test_one(self): pass
        def test_two(self): pass
"""
FAILING = """
    import unittest
    class Bad(unittest.TestCase):
        def test_good(self): pass
        def test_red(self): self.fail("the reason it fails")
        def test_also_red(self): raise KeyError("another reason")
"""


class Case(unittest.TestCase):
    """Creates a temporary repository whose test files the runner runs."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        self.tests = self.root / "tests"
        self.tests.mkdir()

    def write(self, **files):
        for name, text in files.items():
            (self.tests / f"{name}.py").write_text(textwrap.dedent(text))

    def known(self, *lines):
        (self.root / known_red.FILE).write_text("".join(f"{line}\n" for line in lines))

    def run_all(self, only=(), stalled_after=60.0):
        """Run the suite; return the exit code, the last line and the whole output."""
        with contextlib.redirect_stdout(io.StringIO()) as out:
            code = run_tests.run_all(self.tests, 2, only, stalled_after)
        return code, out.getvalue().splitlines()[-1], out.getvalue()


class Verdicts(Case):
    def test_what_passes_and_what_is_skipped_is_counted_and_green(self):
        skipped = """
            import unittest
            class Later(unittest.TestCase):
                @unittest.skip("not here")
                def test_skipped(self): self.fail()
                @unittest.expectedFailure
                def test_expected(self): self.fail()
        """
        self.write(test_a=PASSING, test_b=skipped, helper="raise SystemExit")
        code, last, printed = self.run_all()
        self.assertEqual((code, last), (0, "3 passed, 0 failed, 1 skipped"))
        for line in (r"ok +\d+\.\d s +2 tests  test_a\.py", r"  +\d+\.\d  test_a\.Good\.test_one"):
            self.assertRegex(printed, line)
        (self.tests / "test_b.py").unlink()
        self.assertEqual(self.run_all()[:2], (0, "2 passed, 0 failed"))

    def test_a_failing_test_fails_the_run_and_its_whole_output_is_printed_with_its_file(self):
        self.write(test_a=PASSING, test_b=FAILING)
        code, last, printed = self.run_all()
        self.assertEqual((code, last), (1, "3 passed, 2 failed"))
        shown = re.search(r"----- output of test_b\.py\n(.*)----- end of test_b\.py", printed, re.DOTALL)[1]
        for words in ("the reason it fails", "KeyError: 'another reason'", "Ran 3 tests"):
            self.assertIn(words, shown)
        self.assertIn("FAILED: test_b.Bad.test_red", printed)
        self.assertNotIn("output of test_a.py", printed)

    def test_a_failure_outside_the_body_of_a_test_fails_the_run(self):
        body = """
            import unittest
            class Odd(unittest.IsolatedAsyncioTestCase):
                {}
                async def test_it(self): {}
        """
        for odd, does in (
            ("def setUp(self): 1 / 0", "pass"),
            ("def tearDown(self): 1 / 0", "pass"),
            ("async def asyncTearDown(self): 1 / 0", "pass"),
            ("def setUp(self): self.addCleanup(lambda: 1 / 0)", "pass"),
            ("@classmethod\n    def setUpClass(cls): 1 / 0", "pass"),
            ("@classmethod\n    def tearDownClass(cls): 1 / 0", "pass"),
            ("x = 1 / 0", "pass"),
            ("@unittest.expectedFailure", "pass"),
            ("", "\n        with self.subTest(a=1): self.fail()\n        with self.subTest(a=2): pass"),
        ):
            with self.subTest(odd, does=does):
                text = textwrap.dedent(body).format(odd, does)
                (self.tests / "test_odd.py").write_text(text)
                code, last, printed = self.run_all()
                self.assertEqual(code, 1, printed)
                self.assertNotIn(" 0 failed", last)

    def test_a_process_that_dies_fails_the_run(self):
        dying = """
            import os, unittest
            class Dying(unittest.TestCase):
                def test_a(self): pass
                def test_b(self): {}
                def test_c(self): pass
        """
        for death, words in (
            ("os._exit(0)", "NOT RUN: test_b.Dying.test_b"),
            ("os._exit(7)", "FAULT: test_b.py: died with exit code 7"),
            ("os.kill(os.getpid(), 9)", "FAULT: test_b.py: died with exit code -9"),
        ):
            with self.subTest(death):
                self.write(test_a=PASSING, test_b=textwrap.dedent(dying).format(death))
                code, last, printed = self.run_all()
                self.assertEqual(code, 1, printed)
                self.assertTrue(last.startswith("3 passed, "), last)
                self.assertNotIn(" 0 failed", last)
                self.assertIn(words, printed)
                self.assertIn("NOT RUN: test_b.Dying.test_c", printed)

    def test_a_process_that_dies_after_its_tests_fails_the_run(self):
        self.write(
            test_a=PASSING.replace("test_two(self): pass", "test_two(self): atexit.register(os._exit, 3)")
        )
        code, last, printed = self.run_all()
        self.assertEqual((code, last), (1, "2 passed, 1 failed"))
        self.assertIn("FAULT: test_a.py: died with exit code 3", printed)

    def test_a_process_that_hangs_is_ended_and_fails_the_run_with_its_stack(self):
        hanging = """
            import time, unittest
            class Hanging(unittest.TestCase):
                def test_a(self): pass
                def test_b(self): time.sleep(600)
        """
        self.write(test_a=PASSING, test_b=hanging)
        code, last, printed = self.run_all(stalled_after=2.0)
        self.assertEqual((code, last), (1, "3 passed, 2 failed"))
        self.assertIn("without a test that finished", printed)
        self.assertIn("in test_b", printed)

    def test_a_process_left_behind_is_ended(self):
        leaving = """
            import subprocess, sys, unittest
            class Leaving(unittest.TestCase):
                def test_a(self):
                    left = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(600)"])
                    open("left", "w").write(str(left.pid))
        """
        self.write(test_a=leaving)
        self.assertEqual(self.run_all()[0], 0)
        ends = time.monotonic() + 10
        while (alive := self.alive((self.root / "left").read_text())) and time.monotonic() < ends:
            time.sleep(0.01)
        self.assertFalse(alive)

    @staticmethod
    def alive(process):
        """Return whether a process still runs; a killed process may take a moment to disappear."""
        try:
            return Path(f"/proc/{process}/stat").read_text().split()[2] not in "ZX"
        except (FileNotFoundError, ProcessLookupError):
            return False

    def test_a_run_that_is_terminated_leaves_no_process(self):
        hanging = """
            import os, pathlib, time, unittest
            class Hanging(unittest.TestCase):
                def test_a(self):
                    pathlib.Path("new").write_text(str(os.getpid()))
                    pathlib.Path("new").rename("left")
                    time.sleep(600)
        """
        self.write(test_a=hanging)
        command = [sys.executable, str(run_tests.TESTS / "run_tests.py"), "--tests", str(self.tests)]
        run = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
        with run:
            ends = time.monotonic() + 60
            while not (left := self.root / "left").exists() and time.monotonic() < ends:
                time.sleep(0.01)
            run.terminate()
            run.communicate(timeout=60)
        self.assertNotEqual(run.returncode, 0)
        self.assertFalse(self.alive(left.read_text()))

    def test_a_collected_test_that_does_not_run_fails_the_run(self):
        shrinking = """
            import pathlib, unittest
            class Shrinking(unittest.TestCase):
                def test_stays(self): pass
                if not (seen := pathlib.Path("seen")).exists():
                    def test_goes(self): pass
                seen.touch()
        """
        self.write(test_a=PASSING, test_b=shrinking)
        code, last, printed = self.run_all()
        self.assertEqual((code, last), (1, "3 passed, 1 failed"))
        self.assertIn("NOT RUN: test_b.Shrinking.test_goes", printed)

    def test_a_test_in_a_package_below_that_no_process_runs_fails_the_run(self):
        self.write(test_a=PASSING)
        (self.tests / "below").mkdir()
        (self.tests / "below" / "__init__.py").touch()
        (self.tests / "below" / "test_c.py").write_text(textwrap.dedent(PASSING))
        code, last, printed = self.run_all()
        self.assertEqual((code, last), (1, "2 passed, 2 failed"))
        self.assertIn("NOT RUN: below.test_c.Good.test_two", printed)

    def test_a_test_that_was_not_collected_fails_the_run(self):
        growing = """
            import pathlib, unittest
            class Growing(unittest.TestCase):
                def test_stays(self): pass
                if (seen := pathlib.Path("seen")).exists():
                    def test_comes(self): pass
                seen.touch()
        """
        self.write(test_b=growing)
        code, last, printed = self.run_all()
        self.assertEqual((code, last), (1, "2 passed, 1 failed"))
        self.assertIn("RUN TWICE: test_b.Growing.test_comes", printed)

    def test_each_file_has_a_temporary_folder_of_its_own_and_the_paths_of_discover(self):
        text = """
            import pathlib, sys, tempfile, unittest
            import beside
            class Own(unittest.TestCase):
                def test_own(self):
                    tests = pathlib.Path(__file__).parent
                    self.assertEqual([str(tests), str(tests.parent)], sys.path[:2])
                    self.assertEqual(beside.HERE, tests)
                    self.assertEqual(list(pathlib.Path(tempfile.gettempdir()).iterdir()), [])
                    pathlib.Path(tempfile.mkdtemp())
        """
        self.write(test_a=text, test_b=text, test_c=text)
        self.write(beside="import pathlib\nHERE = pathlib.Path(__file__).parent\n")
        self.assertEqual(self.run_all()[:2], (0, "3 passed, 0 failed"))

    def test_files_named_run_alone_and_a_name_that_is_no_file_fails(self):
        self.write(test_a=PASSING, test_b=FAILING)
        self.assertEqual(self.run_all(["test_a.py"])[:2], (0, "2 passed, 0 failed"))
        self.assertEqual(self.run_all(["test_a.py", "test_c.py"])[0], 1)

    def test_tests_that_can_not_be_collected_fail_the_run(self):
        self.write(test_a=PASSING, test_b="import os\nos._exit(0)")
        code, last, printed = self.run_all()
        self.assertEqual(code, 1)
        self.assertNotIn(" 0 failed", last)
        self.assertIn("FAULT: the tests could not be collected", printed)

    def test_no_test_at_all_fails_the_run(self):
        self.assertEqual(self.run_all()[0], 1)


class Command(Case):
    def run_command(self, *words):
        command = [sys.executable, str(run_tests.TESTS / "run_tests.py"), "--tests", str(self.tests), *words]
        ended = subprocess.run(command, cwd=self.root, capture_output=True, text=True)
        return ended.returncode, ended.stdout.splitlines()[-1]

    def test_it_ends_with_the_verdict(self):
        self.write(test_a=PASSING, test_b=FAILING)
        self.assertEqual(self.run_command(), (1, "3 passed, 2 failed"))
        self.assertEqual(self.run_command("--processes", "1", "test_a.py"), (0, "2 passed, 0 failed"))


class KnownRed(Case):
    LINE = "test_b.Bad.test_red | run_tests.py test_b.py, seed 3 | opens a second connection | issue 39"
    OTHER = "test_b.Bad.test_also_red | run_tests.py test_b.py | a key is lost | issue 40"

    def setUp(self):
        super().setUp()
        self.write(test_a=PASSING, test_b=FAILING)

    def test_only_listed_failures_are_passed_over_and_printed(self):
        self.known(self.LINE, self.OTHER)
        code, last, printed = self.run_all()
        self.assertEqual((code, last), (0, "3 passed, 2 failed"))
        for line in (self.LINE, self.OTHER):
            self.assertIn(f"KNOWN RED, passed over: {line}", printed)

    def test_an_unlisted_failure_beside_a_listed_one_fails_the_run(self):
        self.known(self.LINE)
        code, last, printed = self.run_all()
        self.assertEqual((code, last), (1, "3 passed, 2 failed"))
        self.assertIn("KNOWN RED, passed over: test_b.Bad.test_red", printed)
        self.assertIn("FAILED: test_b.Bad.test_also_red", printed)
        self.assertNotIn("FAILED: test_b.Bad.test_red", printed)

    def test_a_listed_test_that_passes_is_printed_as_such(self):
        self.known(self.LINE, self.OTHER, "test_a.Good.test_one | alone | was slow | issue 41")
        code, _, printed = self.run_all()
        self.assertEqual(code, 0)
        self.assertIn("KNOWN RED, and passed: test_a.Good.test_one | alone | was slow | issue 41", printed)

    def test_a_test_that_is_listed_twice_fails_the_run(self):
        """Guards against an entry that hides another entry for the same test."""
        self.known(self.LINE, self.OTHER, self.LINE.replace("seed 3", "seed 4"))
        code, last, printed = self.run_all()
        self.assertEqual((code, last), (1, "3 passed, 3 failed"))
        self.assertIn("FAULT: KNOWN-RED.txt: listed twice: test_b.Bad.test_red", printed)

    def test_a_line_that_lacks_a_part_or_names_no_test_fails_the_run(self):
        test = "test_a.Good.test_one"
        for line in (
            test,
            f"{test} | alone",
            f"{test} | alone | slow",
            f"{test} | alone | slow | ",
            f"{test} | alone |  | issue 1",
            f"{test} |  | slow | issue 1",
            " | alone | slow | issue 1",
            f"{test} | alone | slow | later",
            f"{test} | alone | slow | issue",
            f"{test} | alone | slow | issue 0",
            f"{test} | alone | slow | issue 1 | more",
            f"{test}: slow, issue 1",
            "# a comment",
            "test_a.Good.test_nine | alone | slow | issue 1",
            "test_a | alone | slow | issue 1",
        ):
            with self.subTest(line):
                self.known(self.LINE, line)
                listed = known_red.read(self.root / known_red.FILE, [test, "test_b.Bad.test_red"])
                self.assertEqual((len(listed.tests), len(listed.faults)), (1, 1))
                self.assertIn(line, listed.faults[0])
        self.known(self.LINE, self.OTHER, line)
        code, last, printed = self.run_all()
        self.assertEqual((code, last), (1, "3 passed, 3 failed"))
        self.assertIn(f"FAULT: {listed.faults[0]}", printed)

    def test_a_listed_test_whose_process_dies_fails_the_run(self):
        dying = "import os, unittest\nclass Bad(unittest.TestCase):\n    def test_red(self): os._exit(1)\n"
        self.write(test_b=dying)
        self.known(self.LINE)
        self.assertEqual(self.run_all()[0], 1)

    def test_the_repository_lists_each_with_all_its_parts(self):
        path = run_tests.ROOT / known_red.FILE
        lines = path.read_text().splitlines() if path.exists() else []
        listed = known_red.read(path, {line.partition(" | ")[0] for line in lines})
        self.assertEqual((listed.faults, len(listed.tests)), ([], len(lines)))


class Order(unittest.TestCase):
    def test_the_longest_begin_first_and_those_alone_come_last(self):
        files = [file.name for file in run_tests.TESTS.glob("test*.py")]
        parallel, alone = schedule.split(files)
        self.assertEqual(sorted(parallel + alone), sorted(files))
        self.assertEqual(set(alone), set(schedule.ALONE))
        self.assertLessEqual(set(schedule.SECONDS), set(parallel))
        seconds = [schedule.SECONDS.get(file, 0) for file in parallel]
        self.assertEqual(seconds, sorted(seconds, reverse=True))

    def test_make_test_runs_the_runner(self):
        recipe = (run_tests.ROOT / "Makefile").read_text().partition("\ntest:")[2]
        self.assertTrue(recipe.rstrip().endswith("$(PY) tests/run_tests.py"), recipe)


if __name__ == "__main__":
    unittest.main()
