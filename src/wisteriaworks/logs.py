"""Write the log as one JSON object a line."""

import sys
from datetime import UTC

import msgspec
from loguru import logger


def _format_record(record):
    line = {
        "time": record["time"].astimezone(UTC).isoformat(),
        "level": record["level"].name,
        "text": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return msgspec.json.encode(line, enc_hook=repr).decode()


def _format_line(record):
    # Loguru formats the returned template, so braces are passed as a field.
    record["extra"]["line"] = _format_record(record)
    return "{extra[line]}\n"


def configure_logs(cfg, program, name):
    """Send the log to the file or stream in the log settings."""
    logger.remove()
    logger.add(cfg.file or sys.stderr, level=cfg.level, format=_format_line)
    logger.configure(extra={"program": program, "name": name})
