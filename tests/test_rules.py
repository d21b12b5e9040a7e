"""Rules of the code base that a reader relies on."""

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
_CORE = processes.ROOT / "catkinpin" / "core"
_TEST_ID = re.compile(r"`(tests/[a-z_/]+\.py)(?:::(\w+))?(?:::(\w+))?`")


def _imported(path: pathlib.Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name.partition(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition(".")[0])
    return names


class RulesTest(base.TestCase):
    """What review would have to look for by hand."""

    def test_core_imports_nothing_that_performs_io(self) -> None:
        for path in sorted(
            (processes.ROOT / "catkinpin" / "core").rglob("*.py")
        ):
            self.assertEqual(set(), _imported(path) & _IO_MODULES, path.name)

    def test_core_imports_no_adapter(self) -> None:
        for path in sorted(
            (processes.ROOT / "catkinpin" / "core").rglob("*.py")
        ):
            self.assertNotIn("catkinpin.adapters", path.read_text(), path.name)

    def test_no_wait_swallows_a_cancellation(self) -> None:
        """`asyncio.wait_for` of Python 3.11 can lose a cancellation.

        It does where what it waits for ends in the same turn of the loop. A
        process that stops then waits for ever for a part that goes on, and a
        request whose caller has left is sent all the same.
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
        """A page that names a test which is gone would prove nothing."""
        for page in (processes.ROOT / "docs").glob("*.md"):
            for path, *names in _TEST_ID.findall(page.read_text()):
                text = (processes.ROOT / path).read_text()
                for name in filter(None, names):
                    self.assertRegex(text, rf"(class|def) {name}\b")
