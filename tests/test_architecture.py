"""Checks that the names in docs/architecture.md exist, that imports follow its diagram, and that no modules
import each other in a cycle."""

import ast
import re
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PACKAGE = ROOT / "petrelwood"
PAGE = ROOT / "docs" / "architecture.md"
LINES = 180  # at most, of the page
CODE = re.compile(r"`([^`\n]+)`")
REFERENCE = re.compile(r"^(?P<path>[\w./]+?(?:\.py|\.md|/))(?::(?P<name>[\w.]+))?$")


def references(text):
    """Return each reference in backticks as (path, name or None)."""
    found = [REFERENCE.match(each) for each in CODE.findall(text)]
    return [(match["path"], match["name"]) for match in found if match]


def place(path):
    """Return the file or folder that a path on the page refers to, or None if it does not exist."""
    base = ROOT if path.startswith(("docs/", "tests/", "benchmarks/")) else PACKAGE
    return base / path if (base / path).exists() else None


def names(file):
    """Return the functions and classes of a file, and the methods as `Class.method`."""
    found = set()
    for node in ast.parse(file.read_text()).body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            found.add(node.name)
        if isinstance(node, ast.ClassDef):
            inside = (each for each in node.body if isinstance(each, ast.FunctionDef | ast.AsyncFunctionDef))
            found.update(f"{node.name}.{each.name}" for each in inside)
    return found


def missing(text):
    """Return the references of a text whose path or name does not exist."""
    found = []
    for path, name in references(text):
        file = place(path)
        if file is None or name is not None and name not in names(file):
            found.append(path if name is None else f"{path}:{name}")
    return found


def rows(text):
    """Return the rows of the diagram, each as the names of its packages."""
    block = text.partition("```\n")[2].partition("```")[0]
    return [re.split(r" {3,}", line)[0].split() for line in block.splitlines()]


def package_of(module):
    """Return the top-level package that a dotted name belongs to, or None."""
    parts = module.split(".")
    return parts[1] if parts[0] == "petrelwood" and len(parts) > 1 else None


def imports(file):
    """Return the top-level packages that a file imports from."""
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        modules = []
        if isinstance(node, ast.Import):
            modules = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module == "petrelwood":
            modules = [f"petrelwood.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            modules = [node.module]
        found.update(package_of(module) for module in modules)
    return found - {None}


def upward_imports(diagram):
    """Return each import that does not go down in the diagram."""
    height = {name: -number for number, row in enumerate(diagram) for name in row}
    found = []
    for file in sorted(PACKAGE.rglob("*.py")):
        inside = file.relative_to(PACKAGE)
        own = inside.parts[0].removesuffix(".py")
        if own == "__init__":
            continue
        for other in imports(file) - {own}:
            if height[other] >= height[own]:
                found.append(f"{inside} imports {other}")
    return found


def module_name(file, package):
    """Return the dotted name of a file in a package."""
    parts = file.relative_to(package.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported_modules(file, package, modules):
    """Return the modules of a package that a file imports, also in functions and under TYPE_CHECKING."""
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = node.module
            if node.level:  # one dot is the file's own package, each further dot the enclosing package
                around = file.parents[node.level - 1].relative_to(package.parent).parts
                base = ".".join((*around, base) if base else around)
            for alias in node.names:
                inside = f"{base}.{alias.name}"
                found.add(inside if inside in modules else base)
    return found & modules


def import_graph(package):
    """Return the modules that each module of a package imports."""
    files = {module_name(file, package): file for file in package.rglob("*.py")}
    return {name: imported_modules(file, package, set(files)) for name, file in files.items()}


def reachable(graph, module):
    """Return the modules that a module imports directly or indirectly."""
    found, pending = set(), [module]
    while pending:
        for other in graph[pending.pop()] - found:
            found.add(other)
            pending.append(other)
    return found


def import_cycles(package):
    """Return the groups of modules that import each other directly or indirectly."""
    graph = import_graph(package)
    behind = {module: reachable(graph, module) for module in graph}
    groups = {
        tuple(sorted(other for other in behind[module] if module in behind[other]))
        for module in graph
        if module in behind[module]
    }
    return sorted(groups)


class Page(unittest.TestCase):
    def setUp(self):
        self.text = PAGE.read_text()

    def test_what_it_names_exists(self):
        self.assertGreater(len(references(self.text)), 60)
        self.assertEqual(missing(self.text), [])

    def test_it_is_one_page(self):
        self.assertLessEqual(len(self.text.splitlines()), LINES)

    def test_each_package_is_in_the_diagram_once(self):
        packages = {path.name for path in PACKAGE.iterdir() if (path / "__init__.py").exists()}
        modules = {path.stem for path in PACKAGE.glob("*.py")} - {"__init__"}
        drawn = [name for row in rows(self.text) for name in row]
        self.assertEqual(sorted(drawn), sorted(packages | modules))

    def test_imports_go_down_in_the_diagram(self):
        self.assertEqual(upward_imports(rows(self.text)), [])

    def test_no_module_imports_itself_by_way_of_others(self):
        self.assertGreater(len(import_graph(PACKAGE)), 200)
        self.assertEqual(import_cycles(PACKAGE), [])


class Checks(unittest.TestCase):
    """Tests that the checks detect the violations they are meant for."""

    def test_a_path_or_name_that_does_not_exist_is_found(self):
        file = "decide/scheduling/scheduler.py"
        text = (
            f"`{file}:Scheduler.activation_arrived` `no/such.py` `{file}:Shceduler` `{file}:Scheduler.no` "
            "`docs/no.md` `a b`"
        )
        self.assertEqual(
            missing(text), ["no/such.py", f"{file}:Shceduler", f"{file}:Scheduler.no", "docs/no.md"]
        )

    def test_an_import_that_goes_up_is_found(self):
        upside_down = rows(PAGE.read_text())[::-1]
        self.assertIn("decide/scheduling/scheduler.py imports ports", upward_imports(upside_down))

    def cycles_of(self, **modules):
        """Return the import cycles of a package with modules of these texts."""
        with tempfile.TemporaryDirectory() as folder:
            package = Path(folder) / "birds"
            package.mkdir()
            for name, text in {"__init__": "", **modules}.items():
                (package / f"{name}.py").write_text(text)
            return import_cycles(package)

    def test_a_circle_is_found_whatever_way_it_is_imported(self):
        for to_petrel in (
            "from birds.petrel import Petrel",
            "from birds import petrel",
            "import birds.petrel",
            "from . import petrel",
            "from .petrel import Petrel",
            "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from birds.petrel import Petrel",
            "def late():\n    from birds import petrel",
        ):
            with self.subTest(to_petrel):
                found = self.cycles_of(
                    petrel="from birds.tern import Tern",
                    tern="from birds.auk import Auk",
                    auk=to_petrel,
                    gull="from birds.petrel import Petrel",
                )
                self.assertEqual(found, [("birds.auk", "birds.petrel", "birds.tern")])

    def test_each_circle_is_found_once_and_what_is_none_is_not(self):
        found = self.cycles_of(
            petrel="from birds import tern",
            tern="from birds import petrel",
            auk="from birds import gull",
            gull="from birds import auk, petrel",
            skua="import birds.petrel, birds.auk",
        )
        self.assertEqual(found, [("birds.auk", "birds.gull"), ("birds.petrel", "birds.tern")])
        self.assertEqual(self.cycles_of(petrel="from birds import tern", tern="import ast"), [])


if __name__ == "__main__":
    unittest.main()
