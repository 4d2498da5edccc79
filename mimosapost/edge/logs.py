"""Structured logs: one line of ``key=value`` pairs for each event, on standard output."""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Mapping, MutableMapping
from typing import Any, TextIO

import structlog

from mimosapost.model.effects import WriteLog

__all__ = ["Logs", "configure_logs", "render_line"]

_KEY = re.compile(r"[A-Za-z][A-Za-z0-9_]{0,63}")
_SECRET_KEY = re.compile(r"token|secret|password|authorization|digest|ticket", re.IGNORECASE)
_SECRET_VALUE = re.compile(r"(?i)\b(bearer|basic)\s+[^\s\"',;]+")
_MASK = "***"
_VALUE_LENGTH = 1_000


def render_line(_logger: Any, _method: str, fields: Mapping[str, Any]) -> str:
    r"""Render an event as one line, for structlog.

    Strings are always quoted as JSON in ASCII, so a value can end neither the line nor its own
    quotes. Keys that are no plain names are replaced, secrets are masked.

    >>> render_line(None, "info", {"event": "refused", "caller": 'a"\nevent="forged'})
    'event="refused" caller="a\\"\\nevent=\\"forged"'
    >>> render_line(None, "info", {"event": "read", "token": "t0ken"})
    'event="read" token="***"'
    """
    return " ".join(f"{_check_key(key)}={_quote(key, value)}" for key, value in fields.items())


def _check_key(key: str) -> str:
    return key if _KEY.fullmatch(key) else "invalid_key"


def _quote(key: str, value: Any) -> str:
    if _SECRET_KEY.search(key):
        return f'"{_MASK}"'
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, int | float):
        return repr(value)
    text = _SECRET_VALUE.sub(rf"\1 {_MASK}", str(value))
    if len(text) > _VALUE_LENGTH:
        text = text[:_VALUE_LENGTH] + "..."
    # JSON leaves the delete character as it is; terminals act on it.
    return json.dumps(text).replace("\x7f", "\\u007f")


def _order_fields(
    _logger: Any, _method: str, fields: MutableMapping[str, Any]
) -> Mapping[str, Any]:
    """Put time, level and event first, whatever the other keys are."""
    first = {key: fields.pop(key) for key in ("time", "level", "event") if key in fields}
    return first | dict(fields)


_PROCESSORS = [
    structlog.contextvars.merge_contextvars,
    structlog.processors.add_log_level,
    structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
    _order_fields,
    render_line,
]
_LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


def configure_logs(level: str, **common: str | int) -> None:
    """Make every structlog logger of the process write the same kind of line.

    :param level: lowest level that is written: debug, info, warning or error.
    :param common: fields of every line, for example the instance's name.
    """
    structlog.contextvars.bind_contextvars(**common)
    structlog.configure(
        processors=_PROCESSORS,
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
        cache_logger_on_first_use=False,
    )


class Logs:
    """Writes log lines.

    :param stream: where lines go; standard output by default.
    :param common: fields of every line, for example the instance's name.
    """

    def __init__(self, stream: TextIO | None = None, **common: str | int) -> None:
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(stream or sys.stdout),
            processors=_PROCESSORS,
            wrapper_class=structlog.BoundLogger,
        ).bind(**common)

    def execute(self, effect: WriteLog) -> None:
        """Execute a ``WriteLog`` effect."""
        self.write(effect.event, dict(effect.fields))

    def write(self, event: str, fields: Mapping[str, Any] | None = None) -> None:
        """Write one line.

        :param event: name of the event.
        :param fields: further keys; those named like a fixed key get a trailing underscore.
        """
        fixed = ("time", "level", "event")
        named = {f"{k}_" if k in fixed else k: v for k, v in (fields or {}).items()}
        self._logger.bind(**named).info(event)
