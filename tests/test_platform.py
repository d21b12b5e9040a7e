"""Tests of the folder `platform/`, which may only translate."""

from __future__ import annotations

import ast
import json
import re
import subprocess
import sys

import testtools

from tests import processes

_PLATFORM_FOLDER = processes.ROOT / "platform"
# Names of the platform that the product must not contain.
_PLATFORM_NAMES = re.compile(
    r"X-[A-Z][a-z]+-|Kv-|Last-Event-Id|heartbeat_addr|bootstrap|node_name"
    r"|data_dir|port_range|path_prefix|server_history|retain_s|max_conns"
    r"|session_affinity|gap_aim|/-/|\bmanifest|\bcheck-in"
)
# Modules that only code with decisions, timers or retries needs.
_FORBIDDEN_MODULES = {"asyncio", "random", "time", "threading", "sched"}
_MAX_LINES = 1_500


def _run_in_folder(code: str) -> str:
    """Runs code with the folder first on the path; returns its output."""
    done = subprocess.run(
        [sys.executable, "-c", code],
        cwd=processes.ROOT,
        env={"PYTHONPATH": f"{_PLATFORM_FOLDER}:{processes.ROOT}"},
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )
    if done.returncode:
        raise AssertionError(done.stderr)
    return done.stdout


class FolderTest(testtools.TestCase):
    """Platform names stay in the folder, decisions stay out of it."""

    def test_standard_library_stays_visible(self) -> None:
        """Libraries import the standard library's module `platform`.

        If the folder hid it, they would fail far away from the cause.
        """
        out = _run_in_folder("import platform, names; print(platform.system())")
        self.assertTrue(out.strip())
        self.assertFalse((_PLATFORM_FOLDER / "__init__.py").exists())

    def test_product_knows_none_of_the_platforms_names(self) -> None:
        """Such a name would tie the product to one platform."""
        found = []
        for path in sorted((processes.ROOT / "catkinpin").rglob("*.py")):
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if _PLATFORM_NAMES.search(line):
                    found.append(f"{path.name}:{number}: {line.strip()}")
        self.assertEqual([], found)

    def test_folder_holds_no_timer_retry_or_choice(self) -> None:
        """The product makes all decisions; the folder only translates."""
        found = []
        lines = 0
        for path in sorted(_PLATFORM_FOLDER.glob("*.py")):
            text = path.read_text()
            lines += len(text.splitlines())
            for node in ast.walk(ast.parse(text)):
                if isinstance(node, ast.While | ast.ClassDef):
                    is_state = isinstance(node, ast.ClassDef) and any(
                        isinstance(part, ast.FunctionDef) for part in node.body
                    )
                    if isinstance(node, ast.While) or is_state:
                        found.append(f"{path.name}:{node.lineno}")
                names = []
                if isinstance(node, ast.Import):
                    names = [alias.name for alias in node.names]
                if isinstance(node, ast.ImportFrom):
                    names = [node.module or ""]
                found += [
                    f"{path.name}: {name}"
                    for name in names
                    if name.partition(".")[0] in _FORBIDDEN_MODULES
                ]
        self.assertEqual([], found)
        self.assertLess(lines, _MAX_LINES)


class TranslationTest(testtools.TestCase):
    """Translation of headers and documents."""

    def test_callers_cannot_steer_an_engines_memory(self) -> None:
        """A caller sends headers that only the system may set."""
        out = _run_in_folder(
            "import names\n"
            "from catkinpin.adapters.gateway.headers import ForwardingFields\n"
            "from catkinpin.adapters.http.headers import Headers\n"
            "received = Headers([(b'X-Hold', b'1'), (b'X-Pin-Ms', b'9'),"
            " (b'Kv-From', b'x'), (b'X-Kv-Backup', b'y'),"
            " (b'Kv-Fetch', b'z'), (b'X-Attempt-Id', b'a'),"
            " (b'X-Expect-Instance', b'other'), (b'Connection', b'close'),"
            " (b'X-Deadline-Ms', b'900')])\n"
            "codec = names.header_codec()\n"
            "call = codec.decode_request(received)\n"
            "fields = ForwardingFields('i1', 700)\n"
            "sent = codec.encode_for_server(received, call, fields)\n"
            "print(sorted((k + b'=' + v).decode() for k, v in sent))\n"
        )
        self.assertEqual(
            [
                "X-Attempt-Id=a",
                "X-Deadline-Ms=700",
                "X-Expect-Instance=i1",
            ],
            ast.literal_eval(out),
        )

    def test_api_key_is_taken_off_and_the_account_set(self) -> None:
        """Servers must get no API keys; callers must not choose accounts."""
        out = _run_in_folder(
            "import dataclasses, names\n"
            "from catkinpin.adapters.gateway.headers import ForwardingFields\n"
            "from catkinpin.adapters.http.headers import Headers\n"
            "received = Headers([(b'authorization', b'bearer k1'),"
            " (b'X-Tenant', b'forged'), (b'X-Deadline-Ms', b'900')])\n"
            "codec = names.header_codec()\n"
            "call = codec.decode_request(received)\n"
            "call = dataclasses.replace(call, account='acme')\n"
            "fields = ForwardingFields('i1', 700, strips_key=True)\n"
            "sent = codec.encode_for_server(received, call, fields)\n"
            "print(sorted((k + b'=' + v).decode() for k, v in sent))\n"
        )
        self.assertEqual(
            [
                "X-Deadline-Ms=700",
                "X-Expect-Instance=i1",
                "X-Tenant=acme",
            ],
            ast.literal_eval(out),
        )

    def test_only_one_bearer_key_counts(self) -> None:
        """Two readers of a request with two keys could pick different ones."""
        out = _run_in_folder(
            "import names\n"
            "from catkinpin.adapters.http.headers import Headers\n"
            "from catkinpin.core.control import accounts\n"
            "def known(*values):\n"
            "    received = [(b'Authorization', v) for v in values]\n"
            "    headers = Headers(received)\n"
            "    call = names.header_codec().decode_request(headers)\n"
            "    found = call.key_digest\n"
            "    return found == accounts.digest_of('k1')\n"
            "print([known(b'Bearer k1'), known(b'Basic k1'), known(b'Bearer'),"
            " known(), known(b'Bearer k1', b'Bearer k2')])\n"
        )
        self.assertEqual(
            [True, False, False, False, False], ast.literal_eval(out)
        )

    def test_odd_headers_decode_to_something_harmless(self) -> None:
        """Headers have invalid numbers and lists with empty entries."""
        out = _run_in_folder(
            "import names\n"
            "from catkinpin.adapters.http.headers import Headers\n"
            "call = names.header_codec().decode_request("
            "Headers([(b'X-Token-Usage', b'a,'),"
            " (b'X-Deadline-Ms', b'1e999'), (b'X-Prompt-Prefix', b',:,x:1'),"
            " (b'Cookie', b'a=b; X-Affinity-Key=17')]))\n"
            "print((call.deadline_ms, call.max_tokens, call.budget,"
            " [p.id for p in call.prompt], call.affinity))\n"
        )
        self.assertEqual((0, 0, -1, ["x"], "17"), ast.literal_eval(out))

    def test_load_with_further_figures_is_not_thrown_away(self) -> None:
        """A server adds figures to its load; without it choices are blind."""
        out = _run_in_folder(
            "import names\n"
            "from catkinpin.adapters.http.headers import Headers\n"
            "def load(value):\n"
            "    headers = Headers([(b'X-Server-Load', value)])\n"
            "    found = names.header_codec().decode_answer(headers).load\n"
            "    return found and (found.running, found.waiting, found.slots,"
            " found.slowdown)\n"
            "print([load(b'3,0,8'), load(b'3,1,8,250'),"
            " load(b'3,1,8,100,7,x'), load(b'3,1'), load(b'3,x,8'),"
            " load(b'3,1,8,-5'), load(b'')])\n"
        )
        self.assertEqual(
            [
                (3, 0, 8, None),
                (3, 1, 8, 2.5),
                (3, 1, 8, 1.0),
                None,
                None,
                None,
                None,
            ],
            ast.literal_eval(out),
        )

    def _is_refused(self, code: str, body: object) -> bool:
        text = body if isinstance(body, bytes) else json.dumps(body).encode()
        out = _run_in_folder(
            "import documents\n"
            "try:\n"
            f"    {code.format(body=text)}\n"
            "    print('taken')\n"
            "except documents.InvalidError as exc:\n"
            "    print('refused')\n"
        )
        return out.strip() == "refused"

    def test_broken_announcements_name_no_server(self) -> None:
        """Another program sends announcements in a different format."""
        good = {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "a",
            "slots": 4,
            "state": "ready",
            "seq": 1,
            "born": 5,
            "new-field": [1],
        }
        call = "documents.decode_announcement('i', {body!r})"
        self.assertFalse(self._is_refused(call, good))
        self.assertTrue(self._is_refused(call, b"\xff\x00"))
        self.assertTrue(self._is_refused(call, {**good, "state": "odd"}))
        self.assertTrue(self._is_refused(call, {**good, "seq": "x"}))
        self.assertTrue(self._is_refused(call, {**good, "address": "nowhere"}))
        del good["service"]
        self.assertTrue(self._is_refused(call, good))

    def test_accounts_that_contradict_each_other_are_refused(self) -> None:
        """A manifest in force must not give one API key to two accounts."""
        first = {"name": "a", "api_keys": ["k1"], "rate_per_s": 0.5}
        good = {
            "version": 1,
            "routes": [],
            "services": [],
            "tenants": [first],
        }
        call = "documents.decode_manifest({body!r})"
        self.assertFalse(self._is_refused(call, good))
        second = {"name": "b", "api_keys": ["k1"]}
        accounts_with_same_key = [first, second]
        self.assertTrue(
            self._is_refused(call, {**good, "tenants": accounts_with_same_key})
        )
        odd = [{"name": "a", "rate_per_s": -1}]
        self.assertTrue(self._is_refused(call, {**good, "tenants": odd}))
