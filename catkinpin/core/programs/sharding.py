"""Maps programs to log groups."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import digest

if TYPE_CHECKING:
    from catkinpin.core.messages import ProgramKey

CONTROL_GROUP = "control"
SUB_AGENT_SEPARATOR = "/"


def root_of(program: str) -> str:
    """Returns the id of the root program of `program`.

    A sub-agent's id begins with its root's id and a slash, so that every
    process can compute the shard of a program.
    """
    return program.partition(SUB_AGENT_SEPARATOR)[0]


def shard_group(shard: int) -> str:
    """Returns the name of a shard's log group."""
    return f"shard-{shard}"


def group_of(key: ProgramKey, shard_count: int) -> str:
    """Returns the log group that holds the program and all its sub-agents."""
    tree = f"{key.account}\0{root_of(key.program)}".encode()
    number = int.from_bytes(digest.of_bytes(tree)[:8], "big")
    return shard_group(number % shard_count)
