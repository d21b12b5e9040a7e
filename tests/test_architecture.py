"""Rules of structure and naming that hold for the whole source tree."""

from __future__ import annotations

import ast
import io
import re
import tokenize
from typing import TYPE_CHECKING

from tests import base, processes

if TYPE_CHECKING:
    import pathlib

_PACKAGES = ("catkinpin", "bench")
_MAX_MODULE_LINES = 450
_MAX_FUNCTION_LINES = 50
# Words that names may not use; the vocabulary page has the terms to use.
_RETIRED_WORDS = re.compile(
    r"(^|_)(told|telling|condemn\w*|struck|welcome|fates?|aboard|born|life"
    r"|most|breath|office|patience)(_|$)"
    r"|Telling|Keeping|Holding|Condemn|Fates|Lacking|Aboard"
)


def _python_files(*folders: str) -> list[pathlib.Path]:
    found = [(processes.ROOT / name).rglob("*.py") for name in folders]
    return sorted(path for paths in found for path in paths)


def _module_name(path: pathlib.Path) -> str:
    parts = path.relative_to(processes.ROOT).with_suffix("").parts
    return ".".join(part for part in parts if part != "__init__")


def _imported_modules(path: pathlib.Path, modules: set[str]) -> set[str]:
    """Returns the modules that a file imports, also those for type checking."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                name = f"{node.module}.{alias.name}"
                found.add(name if name in modules else node.module)
    return found & modules


def _find_cyclic_imports(graph: dict[str, set[str]]) -> set[str]:
    """Returns the modules in an import cycle and those that import them."""
    remaining = dict(graph)
    while True:
        leaves = {
            name
            for name, uses in remaining.items()
            if not uses & set(remaining)
        }
        if not leaves:
            return set(remaining)
        remaining = {
            name: uses for name, uses in remaining.items() if name not in leaves
        }


class StructureTest(base.TestCase):
    """Rules of imports and of sizes."""

    def test_no_module_imports_itself_in_a_circle(self) -> None:
        paths = {_module_name(path): path for path in _python_files(*_PACKAGES)}
        modules = set(paths)
        graph = {
            name: _imported_modules(path, modules) - {name}
            for name, path in paths.items()
        }
        self.assertEqual(set(), _find_cyclic_imports(graph))

    def test_adapters_import_no_command(self) -> None:
        for path in _python_files("catkinpin/adapters", "catkinpin/core"):
            self.assertNotIn("catkinpin.commands", path.read_text(), path.name)

    def test_modules_and_functions_stay_short(self) -> None:
        found = []
        for path in _python_files("catkinpin", "platform"):
            text = path.read_text()
            if len(text.splitlines()) > _MAX_MODULE_LINES:
                found.append(str(path))
            for node in ast.walk(ast.parse(text)):
                if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                    lines = (node.end_lineno or 0) - node.lineno + 1
                    if lines > _MAX_FUNCTION_LINES:
                        found.append(f"{path}:{node.name}")
        self.assertEqual([], found)


class NamesTest(base.TestCase):
    """Rules of names."""

    def test_no_name_uses_a_retired_word(self) -> None:
        found = []
        for path in _python_files("catkinpin"):
            lines = io.StringIO(path.read_text()).readline
            for token in tokenize.generate_tokens(lines):
                is_name = token.type == tokenize.NAME
                if is_name and _RETIRED_WORDS.search(token.string):
                    found.append(f"{path.name}: {token.string}")
        self.assertEqual([], sorted(set(found)))
