"""Problems of a document, and all places where data does not fit its schema.

msgspec stops at the first place; operators want all of them at once.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, get_args, get_origin

import msgspec

_ROOT = "document"


class Severity(Enum):
    """Say whether a problem makes a document unusable."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Problem:
    """Name a field and what was expected there."""

    path: str
    expected: str
    severity: Severity = Severity.ERROR

    def __str__(self):
        return f"{self.path}: expected {self.expected}"


def find_schema_problems(value, kind):
    """Return a problem for each place that does not fit the data class."""
    try:
        msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError:
        return [Problem(path or _ROOT, text) for path, text in _find(value, kind, "")]
    return []


def _find(value, kind, path):
    """Return the problems of the parts, or of the whole if the parts fit."""
    base = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    return list(_find_in_parts(value, base, path)) or _find_in_whole(value, kind, path)


def _find_in_parts(value, base, path):
    if isinstance(value, dict) and _is_struct(base):
        yield from _find_in_struct(value, base, path)
    elif isinstance(value, dict) and get_origin(base) is dict:
        for key, child in value.items():
            child_path = _join(path, key)
            if not isinstance(key, str):
                yield child_path, f"a text as name, got {key!r}"
                continue
            yield from _find(child, get_args(base)[1], child_path)
    elif isinstance(value, (list, tuple)) and get_origin(base) is tuple:
        for position, child in enumerate(value):
            yield from _find(child, get_args(base)[0], f"{path}[{position}]")


def _find_in_struct(value, base, path):
    fields = {field.name: field for field in msgspec.structs.fields(base)}
    for name in value:
        if name not in fields:
            yield _join(path, name), f"one of the fields {', '.join(fields)}"
    for name, field in fields.items():
        if name in value:
            yield from _find(value[name], field.type, _join(path, name))
        elif field.required:
            yield _join(path, name), "a value, the field is missing"


def _find_in_whole(value, kind, path):
    try:
        msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError as exc:
        return [(path, _describe(exc, kind))]
    return []


def _describe(exc, kind):
    if isinstance(kind, type) and issubclass(kind, Enum):
        return f"one of {', '.join(member.value for member in kind)}"
    return str(exc).removeprefix("Expected ").replace("`", "")


def _is_struct(kind):
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _join(path, name):
    return f"{path}.{name}" if path else str(name)
