"""The programs, and `python -m catkinpin [entry|replica] ...`."""

from __future__ import annotations

import signal
import sys


def entry() -> None:
    """Runs `catkinpin-entry`."""
    _ignore_reloads()
    from catkinpin import cli

    cli.entry()


def replica() -> None:
    """Runs `catkinpin-replica`."""
    _ignore_reloads()
    from catkinpin import cli

    cli.replica()


def operator() -> None:
    """Runs `catkinpin`, the operators' command."""
    from catkinpin import cli

    cli.operator()


def _ignore_reloads() -> None:
    """Ignores SIGHUP, before what takes long to load is loaded.

    Its default ends a process: a terminal that is closed, or a tool that
    reloads all services, would end every call that is in flight.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


_PROGRAMS = {"entry": entry, "replica": replica}


def main() -> None:
    """Runs the program that the first argument names."""
    if len(sys.argv) > 1 and sys.argv[1] in _PROGRAMS:
        program = _PROGRAMS[sys.argv.pop(1)]
        program()
    else:
        operator()


if __name__ == "__main__":
    main()
