"""JSON logs on standard error."""

from __future__ import annotations

import logging

from pythonjsonlogger.json import JsonFormatter


def set_up(level: str, process: str) -> None:
    """Configures logging: all records go to standard error as JSON lines."""
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"process": process},
    )
    handler = logging.StreamHandler()
    handler.setFormatter(formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    for logger_name in ("sanic.access", "sanic.root", "sanic.server"):
        logging.getLogger(logger_name).setLevel(logging.WARNING)
