"""Rules that hold for the whole source tree."""

from __future__ import annotations

import ast
import re
from typing import TYPE_CHECKING

from catkinpin import settings
from tests import base, processes

if TYPE_CHECKING:
    import pathlib

_IO_MODULES = {
    "aiohttp", "asyncio", "grpc", "io", "logging", "multiprocessing", "os",
    "pathlib", "sanic", "select", "signal", "socket", "subprocess", "sys",
    "tempfile", "threading", "time", "uuid", "uvloop",
}  # fmt: skip
_CORE_FOLDER = processes.ROOT / "catkinpin" / "core"
_TEST_REFERENCE = re.compile(r"`(tests/[a-z_/]+\.py)(?:::(\w+))?(?:::(\w+))?`")


def _imported_packages(path: pathlib.Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name.partition(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition(".")[0])
    return names


class RulesTest(base.TestCase):
    """Rules of imports, waits, settings and pages that a review would check."""

    def test_core_imports_nothing_that_performs_io(self) -> None:
        for path in sorted(
            (processes.ROOT / "catkinpin" / "core").rglob("*.py")
        ):
            self.assertEqual(
                set(), _imported_packages(path) & _IO_MODULES, path.name
            )

    def test_core_imports_no_adapter(self) -> None:
        for path in sorted(
            (processes.ROOT / "catkinpin" / "core").rglob("*.py")
        ):
            self.assertNotIn("catkinpin.adapters", path.read_text(), path.name)

    def test_no_wait_swallows_a_cancellation(self) -> None:
        """Guards against `asyncio.wait_for`, which can lose a cancellation.

        In Python 3.11 that happens if the awaited future completes in the same
        iteration of the event loop. A stopping process then waits forever for
        a task that keeps running, and a request whose caller has disconnected
        is sent anyway.
        """
        for path in sorted((processes.ROOT / "catkinpin").rglob("*.py")):
            self.assertNotIn("wait_for(", path.read_text(), path.name)

    def test_every_setting_is_described(self) -> None:
        for kind in (
            settings.EntrySettings,
            settings.ReplicaSettings,
            settings.OperatorSettings,
        ):
            for name, field in kind.model_fields.items():
                self.assertTrue(field.description, f"{kind.__name__}.{name}")

    def test_proofs_name_tests_that_exist(self) -> None:
        """Guards against pages that cite a test that no longer exists."""
        for page in (processes.ROOT / "docs").glob("*.md"):
            for path, *names in _TEST_REFERENCE.findall(page.read_text()):
                text = (processes.ROOT / path).read_text()
                for name in filter(None, names):
                    self.assertRegex(text, rf"(class|def) {name}\b")
