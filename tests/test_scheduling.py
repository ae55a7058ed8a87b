"""The structure of the scheduling package, as the docstring of its entry module describes it."""

import ast
import re
import tomllib
import unittest
from pathlib import Path

from petrelwood import ports

ROOT = Path(__file__).resolve().parents[1]
PACKAGE = ROOT / "petrelwood" / "decide" / "scheduling"
ENTRY = "scheduler"
FILES = {file.stem: file for file in sorted(PACKAGE.glob("*.py")) if file.stem != "__init__"}
OUTLET = {name for name in vars(ports.Outlet) if not name.startswith("_")}


def described():
    """Return the modules in the order of the entry module's docstring, and the entry module itself."""
    text = ast.get_docstring(ast.parse(FILES[ENTRY].read_text()))
    lists = [line.partition(":") for line in text.splitlines() if line.startswith("- `")]
    return [name for line in lists for part in line for name in re.findall(r"`(\w+)`", part)] + [ENTRY]


def imported(file):
    """Return the modules of the package that a file imports from."""
    prefix = "petrelwood.decide.scheduling."
    nodes = [node for node in ast.walk(ast.parse(file.read_text())) if isinstance(node, ast.ImportFrom)]
    return {node.module.removeprefix(prefix) for node in nodes if (node.module or "").startswith(prefix)}


def upward(order):
    """Return each import of a module that is not earlier in the order."""
    place = {name: number for number, name in enumerate(order)}
    return [
        f"{name} imports {other}"
        for name, file in FILES.items()
        for other in sorted(imported(file))
        if place[other] >= place[name]
    ]


def private_uses(text):
    """Return the private attributes that are accessed from outside the object itself."""
    return [
        node.attr
        for node in ast.walk(ast.parse(text))
        if isinstance(node, ast.Attribute)
        and node.attr.startswith("_")
        and not node.attr.startswith("__")
        and not (isinstance(node.value, ast.Name) and node.value.id in ("self", "cls"))
    ]


def outlet_calls(text):
    """Return the calls of the outlet's methods on an attribute or variable `outlet`."""
    calls = [node.func for node in ast.walk(ast.parse(text)) if isinstance(node, ast.Call)]
    methods = [func for func in calls if isinstance(func, ast.Attribute) and func.attr in OUTLET]
    owners = [(getattr(func.value, "attr", None) or getattr(func.value, "id", None)) for func in methods]
    return [func.attr for func, owner in zip(methods, owners, strict=True) if owner == "outlet"]


class Package(unittest.TestCase):
    def test_the_entry_names_each_module_once(self):
        self.assertEqual(sorted(described()), sorted(FILES))

    def test_imports_go_to_modules_that_are_named_before(self):
        self.assertEqual(upward(described()), [])
        self.assertNotEqual(upward(described()[::-1]), [])

    def test_nothing_reaches_into_a_private_attribute_of_another(self):
        for name, file in FILES.items():
            self.assertEqual(private_uses(file.read_text()), [], name)
        self.assertEqual(sorted(private_uses("self._a()\nother._b()\nself.c._d = 1\n")), ["_b", "_d"])

    def test_one_module_alone_calls_the_outlet(self):
        calling = {name: outlet_calls(file.read_text()) for name, file in FILES.items()}
        self.assertEqual(set(calling.pop("actions")), OUTLET)
        self.assertEqual({name: calls for name, calls in calling.items() if calls}, {})

    def test_the_deploy_file_lists_each_module_as_policy(self):
        listed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
        self.assertEqual(sorted(listed), [str(file.relative_to(ROOT)) for file in FILES.values()])


if __name__ == "__main__":
    unittest.main()
