"""Command lines of the three executables; each imports only what it needs."""

from __future__ import annotations

import pydantic
from cyclopts import App, CycloptsError
from cyclopts.config import Env

from catkinpin import __version__, settings

_COMMAND_TARGETS = {
    "apply": ("apply:apply", "Applies a configuration file."),
    "show": ("apply:show", "Prints the configuration in force."),
    "status": ("status:status", "Shows processes, servers and plans."),
    "lift": ("status:lift", "Lets quarantined requests run again."),
    "confirm": ("plan:confirm", "Carries out a plan."),
    "stop": ("plan:stop", "Stops a plan at its current step."),
    "undo": ("plan:undo", "Reverts the changes of a plan."),
    "explain": ("explain:explain", "Shows why a call went to its server."),
    "why": ("why:why", "Shows the log lines related to a request."),
    "timeline": ("timeline:show", "Shows the steps of each restart."),
    "repair": ("repair:repair", "Replaces a replica whose disk was lost."),
}
_PLAN_HELP = {
    "move": "Moves a deployment off backend servers.",
    "drain": "Stops new work for a server, host, failure domain or region.",
    "undrain": "Ends a drain.",
    "budget": "Sets a new budget for programs that begin later.",
    "scale": "Sets the number of backend servers of a deployment.",
    "version": "Deploys a new version of a model, one server at a time.",
}


def _create_app(name: str, text: str) -> App:
    return App(
        name=name,
        help=text,
        version=__version__,
        config=Env(settings.ENV_PREFIX, command=False),
        error_formatter=_format_error,
    )


def _format_error(exc: CycloptsError) -> str:
    """Returns the text of an error; lists all invalid settings at once."""
    cause = exc.__cause__
    if isinstance(cause, pydantic.ValidationError):
        return settings.describe_errors(cause)
    return str(exc)


def entry() -> None:
    """Runs `catkinpin-entry`."""
    from catkinpin.commands import entry as command

    app = _create_app("catkinpin-entry", "")
    app.default(command.run)
    app()


def replica() -> None:
    """Runs `catkinpin-replica`."""
    from catkinpin.commands import replica as command

    app = _create_app("catkinpin-replica", "")
    app.default(command.run)
    app()


def operator() -> None:
    """Runs `catkinpin`, the operators' command."""
    app = _create_app(
        "catkinpin", "Plan, apply and watch changes of the system."
    )
    # Commands are given as import paths, so that each run imports only its own.
    for name, (path, text) in _COMMAND_TARGETS.items():
        app.command(f"catkinpin.commands.{path}", name=name, help=text)
    plan = App(name="plan", help="Shows the effects of a planned change.")
    for name, text in _PLAN_HELP.items():
        plan.command(f"catkinpin.commands.plan:{name}", name=name, help=text)
    app.command(plan)
    app()
