"""The command lines of the three programs; each imports only what it needs."""

from __future__ import annotations

import pydantic
from cyclopts import App, CycloptsError
from cyclopts.config import Env

from catkinpin import __version__, settings

_COMMANDS = {
    "apply": ("apply:apply", "Makes a file the configuration."),
    "show": ("apply:show", "Prints the configuration in force."),
    "status": ("status:status", "Shows processes, servers and plans."),
    "lift": ("status:lift", "Lets quarantined requests run again."),
    "confirm": ("plan:confirm", "Carries out a plan."),
    "stop": ("plan:stop", "Stops a plan where it stands."),
    "undo": ("plan:undo", "Takes back what a plan has changed."),
    "explain": ("explain:explain", "Shows why a call went to its server."),
    "why": ("why:why", "Joins logs around a request, to find its cause."),
    "timeline": ("timeline:show", "Shows what restarts were made up of."),
    "repair": ("repair:repair", "Replaces a replica whose disk was lost."),
}
_PLANS = {
    "move": "Takes a deployment off backend servers.",
    "drain": "Gives a server, host, failure domain or region no new work.",
    "undrain": "Takes a drain back.",
    "budget": "Sets a new budget for programs that begin later.",
    "scale": "Sets how many backend servers a deployment uses.",
    "version": "Brings a new version of a model, one server at a time.",
}


def _app(name: str, text: str) -> App:
    return App(
        name=name,
        help=text,
        version=__version__,
        config=Env(settings.ENV_PREFIX, command=False),
        error_formatter=_error_text,
    )


def _error_text(exc: CycloptsError) -> str:
    """Returns an error for a human; all invalid settings at once."""
    cause = exc.__cause__
    if isinstance(cause, pydantic.ValidationError):
        return settings.describe_errors(cause)
    return str(exc)


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
    # Commands are named, not imported, so that each run imports only its own.
    for name, (place, text) in _COMMANDS.items():
        app.command(f"catkinpin.commands.{place}", name=name, help=text)
    plan = App(name="plan", help="Shows what a change would bring.")
    for name, text in _PLANS.items():
        plan.command(f"catkinpin.commands.plan:{name}", name=name, help=text)
    app.command(plan)
    app()
