"""Checks of the finished packages, which `finished` under [tool.petrelwood] in pyproject.toml lists.

`python tests/finished.py` runs `mypy --strict` and ruff with the rules of ruff-finished.toml over them.
`count` finds code that is hard to read; tests/test_finished.py asserts that these packages have none.
"""

import ast
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
LONGEST_FUNCTION = 40  # lines
LONGEST_FILE = 400  # lines
PACKED_NAMES = 3  # names that one statement may not assign from a tuple
Function = ast.FunctionDef | ast.AsyncFunctionDef


def finished(root: Path = ROOT) -> list[str]:
    """Return the finished packages and modules as paths relative to the root."""
    return tomllib.loads((root / "pyproject.toml").read_text())["tool"]["petrelwood"]["finished"]


def files(paths: list[str], root: Path = ROOT) -> list[Path]:
    """Return the Python files of packages and modules."""
    found = set()
    for path in paths:
        place = root / path
        found.update([place] if place.is_file() else place.rglob("*.py"))
    return sorted(found)


def module_name(file: Path, root: Path = ROOT) -> str:
    """Return the dotted name of a module."""
    parts = file.relative_to(root).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def mypy_command(paths: list[str], root: Path = ROOT) -> list[str]:
    """Return the command for strict checks of these paths only.

    They may call modules that are not finished and have no annotations yet.
    """
    inside = set(files(paths, root))
    modules = [file for file in files(["petrelwood"], root) if file.name != "__init__.py"]
    outside = [file for file in modules if file not in inside]
    excluded = [f"--untyped-calls-exclude={module_name(file, root)}" for file in outside]
    checked = [str(file.relative_to(root)) for file in sorted(inside)]
    return [sys.executable, "-m", "mypy", "--strict", *excluded, *checked]


def ruff_command(paths: list[str]) -> list[str]:
    """Return the command for the rules of finished packages; `noqa` comments have no effect there."""
    return [sys.executable, "-m", "ruff", "check", "--config", "ruff-finished.toml", "--ignore-noqa", *paths]


def _functions(tree: ast.Module) -> Iterator[Function]:
    return (node for node in ast.walk(tree) if isinstance(node, Function))


def _untyped(function: Function) -> bool:
    own = function.args
    parameters = own.posonlyargs + own.args + own.kwonlyargs + [a for a in (own.vararg, own.kwarg) if a]
    if any(each.annotation is None and each.arg not in {"self", "cls"} for each in parameters):
        return True
    return function.returns is None and function.name != "__init__"


def _undocumented(tree: ast.Module) -> Iterator[ast.AST]:
    """Yield the module and each public class, method and function in it that has no docstring."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Module):
            public = True
        else:
            public = isinstance(node, Function | ast.ClassDef) and not node.name.startswith("_")
        if public and not ast.get_docstring(node):
            yield node


def _packed(tree: ast.Module) -> Iterator[ast.Assign]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Tuple):
            tuples = [target for target in node.targets if isinstance(target, ast.Tuple | ast.List)]
            if any(len(target.elts) >= PACKED_NAMES for target in tuples):
                yield node


def count(text: str) -> dict[str, list[int]]:
    """Return the line numbers of one file's findings by kind; each list is empty if there are none."""
    tree, lines = ast.parse(text), len(text.splitlines())
    functions = list(_functions(tree))
    return {
        "untyped functions": [each.lineno for each in functions if _untyped(each)],
        "undocumented public items": [getattr(each, "lineno", 1) for each in _undocumented(tree)],
        "long functions": [
            each.lineno for each in functions if each.end_lineno - each.lineno >= LONGEST_FUNCTION
        ],
        "tuple assignments": [each.lineno for each in _packed(tree)],
        "long file": [lines] if lines > LONGEST_FILE else [],
    }


def main() -> int:
    """Run mypy and ruff on the finished packages; return the exit code, 0 if neither has findings."""
    paths = finished()
    if not paths:
        return 0
    runs = [subprocess.run(command, cwd=ROOT) for command in (mypy_command(paths), ruff_command(paths))]
    return max(run.returncode for run in runs)


if __name__ == "__main__":
    sys.exit(main())
