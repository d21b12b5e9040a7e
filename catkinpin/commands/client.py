"""HTTP client, exit codes and text tables of the operators' commands."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import sys
import uuid
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Sequence

    from catkinpin.settings import OperatorSettings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_CONFLICT = 4
EXIT_OUTCOME_UNKNOWN = 5
EXIT_NOT_IN_FORCE = 6

_STATUS_CONFLICT = 409
_STATUS_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer of the operators' interface.

    Attributes:
        status: HTTP status; 0 if no answer arrived.
        body: the JSON object of the answer.
    """

    status: int
    body: Any

    @property
    def exit_code(self) -> int:
        """The exit code of a command that got this answer."""
        if self.status in (0, _STATUS_UNAVAILABLE):
            return EXIT_OUTCOME_UNKNOWN
        if self.status == _STATUS_CONFLICT:
            return EXIT_CONFLICT
        return EXIT_OK if 200 <= self.status < 300 else EXIT_FAILED


class Client:
    """HTTP client of the operators' interface of an entry."""

    def __init__(self, cfg: OperatorSettings) -> None:
        self._cfg = cfg
        timeout = aiohttp.ClientTimeout(total=cfg.timeout_ms / 1000)
        self._http = aiohttp.ClientSession(timeout=timeout)

    async def __aenter__(self) -> Client:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._http.close()

    async def get(self, path: str) -> Reply:
        """Sends a GET request for a path of the interface."""
        return await self._request("GET", path, b"", {})

    async def post(
        self,
        path: str,
        data: bytes = b"",
        *,
        operator: str = "",
        request_id: str = "",
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Sends a POST request to a path of the interface."""
        all_headers = {
            "Catkinpin-Operator": operator,
            "Idempotency-Key": request_id,
            **(headers or {}),
        }
        return await self._request("POST", path, data, all_headers)

    async def _request(
        self, method: str, path: str, data: bytes, headers: dict[str, str]
    ) -> Reply:
        url = f"{self._cfg.entry.rstrip('/')}/v1/operator/{path}"
        headers["Authorization"] = f"Bearer {self._cfg.operator_key}"
        try:
            async with self._http.request(
                method, url, data=data, headers=headers
            ) as resp:
                body = json.loads(await resp.read())
                if not resp.ok and "message" in body:
                    body = {"error": {"message": body["message"]}}
                return Reply(resp.status, body)
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            text = f"no answer from {url}: {exc!r}"
            return Reply(0, {"error": {"message": text}})


def new_request_id(given: str) -> str:
    """Returns the given id, or a new one if it is empty."""
    return given or uuid.uuid4().hex


def run(
    cfg: OperatorSettings,
    work: Callable[[Client], Coroutine[Any, Any, int]],
) -> None:
    """Runs a command and exits with the code that it returns."""

    async def main() -> int:
        async with Client(cfg) as client:
            return await work(client)

    sys.exit(asyncio.run(main()))


def show(reply: Reply, as_json: bool, table: Callable[[Any], str]) -> None:
    """Prints an answer as JSON or as text; an error goes to standard error.

    Args:
        reply: the answer.
        as_json: whether to print JSON.
        table: formats the body of the answer as text.
    """
    if as_json:
        print(json.dumps(reply.body, sort_keys=True))
    elif "error" in reply.body:
        print(reply.body["error"]["message"], file=sys.stderr)
    else:
        print(table(reply.body))


def announce_resend(reply: Reply, request_id: str) -> None:
    """Prints how to resend a change if its answer was lost."""
    if reply.exit_code == EXIT_OUTCOME_UNKNOWN:
        print(
            "The answer was lost; whether it was carried out is not known."
            f" Send it again with --request-id {request_id}: it is carried"
            " out once, and you get the first answer.",
            file=sys.stderr,
        )


def columns(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Returns a plain-text table with aligned columns."""
    lines = [[str(cell) for cell in row] for row in (head, *rows)]
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
