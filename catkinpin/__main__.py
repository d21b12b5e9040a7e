"""The command line: three programs that import only what they need."""

from __future__ import annotations

import sys

from cyclopts import App
from cyclopts.config import Env

from catkinpin import __version__

_ENV_PREFIX = "CATKINPIN_"


def _app(name: str, text: str) -> App:
    return App(
        name=name,
        help=text,
        version=__version__,
        config=Env(_ENV_PREFIX, command=False),
    )


def entry() -> None:
    """Runs `catkinpin-entry`."""
    from catkinpin.commands import entry as command

    app = _app("catkinpin-entry", "")
    app.default(command.run)
    app()


def replica() -> None:
    """Runs `catkinpin-replica`."""
    from catkinpin.commands import replica as command

    app = _app("catkinpin-replica", "")
    app.default(command.run)
    app()


def operator() -> None:
    """Runs `catkinpin`, the operators' command."""
    app = _app("catkinpin", "Plan, apply and watch changes of the system.")
    app.command("catkinpin.commands.apply:apply", name="apply")
    app.command("catkinpin.commands.apply:show", name="show")
    app.command("catkinpin.commands.status:status", name="status")
    app.command("catkinpin.commands.status:lift", name="lift")
    plan = App(name="plan", help="Shows what a change would bring.")
    for name in ("move", "drain", "undrain", "budget", "scale", "version"):
        plan.command(f"catkinpin.commands.plan:{name}", name=name)
    app.command(plan)
    for name in ("confirm", "stop", "undo"):
        app.command(f"catkinpin.commands.plan:{name}", name=name)
    app.command("catkinpin.commands.explain:explain", name="explain")
    app.command("catkinpin.commands.repair:repair", name="repair")
    app()


_PROGRAMS = {"entry": entry, "replica": replica}


def main() -> None:
    """Runs `python -m catkinpin [entry|replica] ...`."""
    if len(sys.argv) > 1 and sys.argv[1] in _PROGRAMS:
        program = _PROGRAMS[sys.argv.pop(1)]
        program()
    else:
        operator()


if __name__ == "__main__":
    main()
