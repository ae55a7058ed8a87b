"""docs/architecture.md: what it names exists, and imports follow its diagram, without a circle of modules."""

import ast
import re
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PACKAGE = ROOT / "petrelwood"
PAGE = ROOT / "docs" / "architecture.md"
LINES = 180  # of the page at most
CODE = re.compile(r"`([^`\n]+)`")
REFERENCE = re.compile(r"^(?P<path>[\w./]+?(?:\.py|\.md|/))(?::(?P<name>[\w.]+))?$")


def references(text):
    """Each (path, name or None) in backticks."""
    found = [REFERENCE.match(each) for each in CODE.findall(text)]
    return [(match["path"], match["name"]) for match in found if match]


def place(path):
    """Where a path of the page is, or None."""
    base = ROOT if path.startswith(("docs/", "tests/", "benchmarks/")) else PACKAGE
    return base / path if (base / path).exists() else None


def names(file):
    """The functions and classes of a file, methods as `Class.method`."""
    found = set()
    for node in ast.parse(file.read_text()).body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            found.add(node.name)
        if isinstance(node, ast.ClassDef):
            inside = (each for each in node.body if isinstance(each, ast.FunctionDef | ast.AsyncFunctionDef))
            found.update(f"{node.name}.{each.name}" for each in inside)
    return found


def missing(text):
    """Each reference of a text to what does not exist."""
    found = []
    for path, name in references(text):
        file = place(path)
        if file is None or name is not None and name not in names(file):
            found.append(path if name is None else f"{path}:{name}")
    return found


def rows(text):
    """The rows of the diagram, each the names of its packages."""
    block = text.partition("```\n")[2].partition("```")[0]
    return [re.split(r" {3,}", line)[0].split() for line in block.splitlines()]


def package_of(module):
    """The package of the first level that a dotted name is in, or None."""
    parts = module.split(".")
    return parts[1] if parts[0] == "petrelwood" and len(parts) > 1 else None


def imports(file):
    """The packages that a file imports from."""
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


def against(diagram):
    """Each import that does not go down in the diagram."""
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
    """The dotted name of a file in a package."""
    parts = file.relative_to(package.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported_modules(file, package, modules):
    """The modules of a package that a file imports, be it in a function or under TYPE_CHECKING."""
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = node.module
            if node.level:  # a dot is the file's own package, each further one the package around it
                around = file.parents[node.level - 1].relative_to(package.parent).parts
                base = ".".join((*around, base) if base else around)
            for alias in node.names:
                inside = f"{base}.{alias.name}"
                found.add(inside if inside in modules else base)
    return found & modules


def import_graph(package):
    """The modules that each module of a package imports."""
    files = {module_name(file, package): file for file in package.rglob("*.py")}
    return {name: imported_modules(file, package, set(files)) for name, file in files.items()}


def reachable(graph, module):
    """The modules that one imports, and those that these import, and so on."""
    found, following = set(), [module]
    while following:
        for other in graph[following.pop()] - found:
            found.add(other)
            following.append(other)
    return found


def circles(package):
    """The groups of modules in which each imports each other, directly or by way of others."""
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
        self.assertEqual(against(rows(self.text)), [])

    def test_no_module_imports_itself_by_way_of_others(self):
        self.assertGreater(len(import_graph(PACKAGE)), 200)
        self.assertEqual(circles(PACKAGE), [])


class Checks(unittest.TestCase):
    """The checks find what they are for."""

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
        self.assertIn("decide/scheduling/scheduler.py imports ports", against(upside_down))

    def circles_of(self, **modules):
        """The circles of a package with modules of these texts."""
        with tempfile.TemporaryDirectory() as folder:
            package = Path(folder) / "birds"
            package.mkdir()
            for name, text in {"__init__": "", **modules}.items():
                (package / f"{name}.py").write_text(text)
            return circles(package)

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
                found = self.circles_of(
                    petrel="from birds.tern import Tern",
                    tern="from birds.auk import Auk",
                    auk=to_petrel,
                    gull="from birds.petrel import Petrel",
                )
                self.assertEqual(found, [("birds.auk", "birds.petrel", "birds.tern")])

    def test_each_circle_is_found_once_and_what_is_none_is_not(self):
        found = self.circles_of(
            petrel="from birds import tern",
            tern="from birds import petrel",
            auk="from birds import gull",
            gull="from birds import auk, petrel",
            skua="import birds.petrel, birds.auk",
        )
        self.assertEqual(found, [("birds.auk", "birds.gull"), ("birds.petrel", "birds.tern")])
        self.assertEqual(self.circles_of(petrel="from birds import tern", tern="import ast"), [])


if __name__ == "__main__":
    unittest.main()
