"""Entry points of the executables and of `python -m catkinpin`."""

from __future__ import annotations

import sys

from catkinpin import startup


def entry() -> None:
    """Runs `catkinpin-entry`."""
    _run_process("entry")


def replica() -> None:
    """Runs `catkinpin-replica`."""
    _run_process("replica")


def operator() -> None:
    """Runs `catkinpin`, the operators' command."""
    from catkinpin import cli

    cli.operator()


def _run_process(name: str) -> None:
    """Runs a command that serves, with signals handled from its start on."""
    startup.handle_signals(startup.STDERR_FD)
    startup.open_standard_files()
    try:
        from catkinpin import cli

        getattr(cli, name)()
    except Exception as exc:
        from catkinpin import exits
        from catkinpin.adapters.tasks import brief

        startup.end_process(exits.FAILED, "fault", brief(exc))


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
