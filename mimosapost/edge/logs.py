"""Structured logs: one line of ``key=value`` pairs for each event."""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Mapping, MutableMapping
from typing import Any, TextIO

import structlog

from mimosapost.model.effects import WriteLog

__all__ = ["Logs", "configure_logs", "render_line"]

_KEY_PATTERN = re.compile(r"[A-Za-z][A-Za-z0-9_]{0,63}")
_SECRET_KEY_PATTERN = re.compile(
    r"token|secret|password|authorization|digest|ticket", re.IGNORECASE
)
_SECRET_VALUE_PATTERN = re.compile(r"(?i)\b(bearer|basic)\s+[^\s\"',;]+")
_MASK = "***"
_MAX_VALUE_CHARS = 1_000


def render_line(_logger: Any, _method: str, fields: Mapping[str, Any]) -> str:
    r"""Render a log event as one line; the last processor of structlog.

    Strings are always quoted as ASCII JSON, so a value can contain neither a line break nor an
    unescaped quote. Keys other than plain identifiers are replaced, and secrets are masked.

    :param fields: keys and values of the event, in the order of the line.

    >>> render_line(None, "info", {"event": "refused", "caller": 'a"\nevent="forged'})
    'event="refused" caller="a\\"\\nevent=\\"forged"'
    >>> render_line(None, "info", {"event": "read", "token": "t0ken"})
    'event="read" token="***"'
    """
    return " ".join(
        f"{_sanitize_key(key)}={_render_value(key, value)}" for key, value in fields.items()
    )


def _sanitize_key(key: str) -> str:
    return key if _KEY_PATTERN.fullmatch(key) else "invalid_key"


def _render_value(key: str, value: Any) -> str:
    if _SECRET_KEY_PATTERN.search(key):
        return f'"{_MASK}"'
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, int | float):
        return repr(value)
    text = _SECRET_VALUE_PATTERN.sub(rf"\1 {_MASK}", str(value))
    if len(text) > _MAX_VALUE_CHARS:
        text = text[:_MAX_VALUE_CHARS] + "..."
    # JSON does not escape the delete character, but terminals interpret it.
    return json.dumps(text).replace("\x7f", "\\u007f")


def _order_fields(
    _logger: Any, _method: str, fields: MutableMapping[str, Any]
) -> Mapping[str, Any]:
    """Move time, level and event to the front of the line."""
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


def configure_logs(level: str, stream: TextIO | None = None, **common: str | int) -> None:
    """Configure structlog so that all loggers of the process write lines of this format.

    :param level: lowest level that is logged: debug, info, warning or error.
    :param stream: output of the lines; standard output by default.
    :param common: fields of every line, for example the instance's name.
    """
    structlog.contextvars.bind_contextvars(**common)
    structlog.configure(
        processors=_PROCESSORS,
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stdout),
        cache_logger_on_first_use=False,
    )


class Logs:
    """Writes events as log lines, at level info.

    :param stream: output of the lines; standard output by default.
    :param common: fields of every line, for example the instance's name.
    """

    def __init__(self, stream: TextIO | None = None, **common: str | int) -> None:
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(stream or sys.stdout),
            processors=_PROCESSORS,
            wrapper_class=structlog.BoundLogger,
        ).bind(**common)

    def execute(self, effect: WriteLog) -> None:
        """Write the log line of a ``WriteLog`` effect."""
        self.write(effect.event, dict(effect.fields))

    def write(self, event: str, fields: Mapping[str, Any] | None = None) -> None:
        """Write one log line.

        :param event: name of the event.
        :param fields: further keys and values. A key named time, level or event gets a trailing
            underscore.
        """
        reserved = ("time", "level", "event")
        renamed = {f"{k}_" if k in reserved else k: v for k, v in (fields or {}).items()}
        self._logger.bind(**renamed).info(event)
