"""Checks that the list of finished packages only grows, and that these packages have no findings."""

import contextlib
import re
import subprocess
import tempfile
import tomllib
import unittest
from pathlib import Path

import finished

# The list of finished packages at the last landing or push. Add each package that is finished; never remove
# one.
FINISHED_BEFORE = {
    "petrelwood/clocks.py",
    "petrelwood/control",
    "petrelwood/decide",
    "petrelwood/dispatch",
    "petrelwood/emulate/configuration_servers.py",
    "petrelwood/errors.py",
    "petrelwood/fronts",
    "petrelwood/links",
    "petrelwood/node",
    "petrelwood/ports.py",
    "petrelwood/settings",
    "petrelwood/simulator_adapter.py",
    "petrelwood/store",
}
EXCUSE = re.compile(r"#\s*(noqa|fmt:|ruff:|type:\s*ignore|mypy:|pylint:)")
READABLE = '''"""A module."""


class Doubler:
    """Doubles numbers."""

    def double(self, number: int) -> int:
        """Twice a number."""
        return 2 * number
'''


@contextlib.contextmanager
def scratch(**modules: str):
    """Yield a temporary folder with the project's settings and a package `petrelwood` of these modules."""
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        for name in ("pyproject.toml", "ruff-finished.toml"):
            (root / name).write_text((finished.ROOT / name).read_text())
        (root / "petrelwood").mkdir()
        (root / "petrelwood" / "__init__.py").write_text('"""A package."""\n')
        for name, text in modules.items():
            (root / "petrelwood" / f"{name}.py").write_text(text)
        yield root


class FinishedList(unittest.TestCase):
    def test_it_only_grows(self):
        """Each entry is still listed, or is inside a package that is listed as a whole."""
        now = set(finished.finished())
        lost = [
            path for path in sorted(FINISHED_BEFORE) if now.isdisjoint({path, *map(str, Path(path).parents)})
        ]
        self.assertEqual(lost, [])

    def test_each_entry_is_there_once_and_in_order(self):
        paths = finished.finished()
        self.assertEqual(paths, sorted(set(paths)))
        for path in paths:
            self.assertTrue((finished.ROOT / path).exists(), path)
            self.assertTrue(finished.files([path]), path)

    def test_make_test_runs_the_checks(self):
        recipe = (finished.ROOT / "Makefile").read_text().partition("\ntest:")[2]
        self.assertRegex(recipe, r"(?m)^\t\$\(PY\) tests/finished\.py$")

    def test_the_checks_are_not_eased(self):
        """Guards against settings that weaken the checks: only these rules are excluded, as agreed."""
        rules = tomllib.loads((finished.ROOT / "ruff-finished.toml").read_text())
        self.assertEqual(set(rules), {"extend", "lint"})
        self.assertEqual(
            set(rules["lint"]), {"extend-select", "ignore", "flake8-annotations", "pydocstyle", "pylint"}
        )
        self.assertGreaterEqual(set(rules["lint"]["extend-select"]), {"ANN", "D", "N", "SIM", "RET", "PL"})
        self.assertLessEqual(set(rules["lint"]["ignore"]), {"D105", "D107", "PLC0415"})
        self.assertEqual(rules["lint"]["pylint"], {"max-args": 8, "max-returns": 8})
        settings = tomllib.loads((finished.ROOT / "pyproject.toml").read_text())["tool"]["mypy"]
        self.assertEqual(set(settings), {"python_version", "follow_imports", "overrides"})
        for override in settings["overrides"]:
            self.assertEqual(set(override), {"module", "ignore_missing_imports"})


class FinishedPackages(unittest.TestCase):
    def test_nothing_that_is_hard_to_read_is_left(self):
        for file in finished.files(finished.finished()):
            for kind, lines in finished.count(file.read_text()).items():
                with self.subTest(file=str(file.relative_to(finished.ROOT)), kind=kind):
                    self.assertEqual(lines, [])

    def test_no_finding_is_excused(self):
        ruff = tomllib.loads((finished.ROOT / "pyproject.toml").read_text())["tool"]["ruff"]
        files = finished.files(finished.finished())
        for name in [*ruff["lint"]["per-file-ignores"], *ruff.get("format", {}).get("exclude", [])]:
            self.assertNotIn(finished.ROOT / name, files)
        for file in files:
            self.assertEqual(EXCUSE.findall(file.read_text()), [], file)


class Checks(unittest.TestCase):
    """Tests that the checks detect the violations they are meant for."""

    def _mypy(self, root: Path, *paths: str) -> subprocess.CompletedProcess:
        command = finished.mypy_command(list(paths), root)
        return subprocess.run(command, cwd=root, capture_output=True, text=True)

    def _ruff(self, root: Path, *paths: str) -> subprocess.CompletedProcess:
        command = finished.ruff_command(list(paths))
        return subprocess.run(command, cwd=root, capture_output=True, text=True)

    def test_readable_code_has_no_findings(self):
        self.assertEqual([lines for lines in finished.count(READABLE).values() if lines], [])
        with scratch(readable=READABLE) as root:
            path = "petrelwood/readable.py"
            self.assertEqual(self._mypy(root, path).returncode, 0)
            self.assertEqual(self._ruff(root, path).returncode, 0, self._ruff(root, path).stdout)

    def test_each_kind_is_counted(self):
        cases = {
            "untyped functions": READABLE.replace("number: int", "number"),
            "undocumented public items": READABLE.replace('        """Twice a number."""\n', ""),
            "long functions": READABLE.replace("        return", "\n" * 40 + "        return"),
            "tuple assignments": READABLE + "a, b, c = 1, 2, 3\n",
            "long file": READABLE + "\n" * 400,
        }
        for kind, text in cases.items():
            with self.subTest(kind):
                self.assertEqual([name for name, lines in finished.count(text).items() if lines], [kind])
        for text in (READABLE.replace("-> int", ""), "def f(*rest) -> None:\n    ...\n"):
            self.assertEqual(len(finished.count(text)["untyped functions"]), 1)
        self.assertEqual(finished.count("x = 1\n")["undocumented public items"], [1])

    def test_mypy_is_strict_where_it_is_finished_and_silent_elsewhere(self):
        caller = '"""A module."""\n\nfrom petrelwood.other import f\n\nx: int = f()\n'
        with scratch(caller=caller, other="def f():\n    return undefined\n") as root:
            run = self._mypy(root, "petrelwood/caller.py")
            self.assertEqual(run.returncode, 0, run.stdout)
            run = self._mypy(root, "petrelwood")
            self.assertEqual(run.returncode, 1)
            self.assertIn("no-untyped-def", run.stdout)
            self.assertIn("no-untyped-call", run.stdout)

    def test_ruff_holds_the_further_rules_and_takes_no_excuse(self):
        excuse = "noqa"
        with scratch(bad=f"def F(x):  # {excuse}\n    return x > 17\n") as root:
            run = self._ruff(root, "petrelwood/bad.py")
            self.assertEqual(run.returncode, 1)
            for rule in ("ANN001", "D100", "N802", "PLR2004"):
                self.assertIn(rule, run.stdout)


if __name__ == "__main__":
    unittest.main()
