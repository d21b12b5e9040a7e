"""Entry points of the executables and of `python -m catkinpin`."""

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
    """Ignores SIGHUP before slow imports.

    The default action ends the process: closing a terminal, or a tool that
    reloads all services, would abort every call in flight.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


_EXECUTABLES = {"entry": entry, "replica": replica}


def main() -> None:
    """Runs the executable that the first argument names."""
    if len(sys.argv) > 1 and sys.argv[1] in _EXECUTABLES:
        executable = _EXECUTABLES[sys.argv.pop(1)]
        executable()
    else:
        operator()


if __name__ == "__main__":
    main()
