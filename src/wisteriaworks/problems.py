"""Problems of a document, and a schema check that reports all of them.

msgspec stops at the first mismatch; operators need all of them at once.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, get_args, get_origin

import msgspec

_ROOT = "document"


class Severity(Enum):
    """Indicate whether a problem makes a document unusable."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Problem:
    """Describe what was expected at the path of a field."""

    path: str
    expected: str
    severity: Severity = Severity.ERROR

    def __str__(self):
        return f"{self.path}: expected {self.expected}"


def find_schema_problems(value, expected_type):
    """Return a problem for each value that does not match the data class."""
    try:
        msgspec.convert(value, expected_type, strict=True)
    except msgspec.ValidationError:
        return [
            Problem(path or _ROOT, text)
            for path, text in _find_problems(value, expected_type, "")
        ]
    return []


def _find_problems(value, expected_type, path):
    """Return the problems of the children, or of the value if they have none."""
    base = (
        get_args(expected_type)[0]
        if get_origin(expected_type) is Annotated
        else expected_type
    )
    return list(_find_in_children(value, base, path)) or _find_in_value(
        value, expected_type, path
    )


def _find_in_children(value, base, path):
    if isinstance(value, dict) and _is_struct(base):
        yield from _find_in_struct(value, base, path)
    elif isinstance(value, dict) and get_origin(base) is dict:
        for key, child in value.items():
            child_path = _join(path, key)
            if not isinstance(key, str):
                yield child_path, f"a text as name, got {key!r}"
                continue
            yield from _find_problems(child, get_args(base)[1], child_path)
    elif isinstance(value, (list, tuple)) and get_origin(base) is tuple:
        for position, child in enumerate(value):
            yield from _find_problems(child, get_args(base)[0], f"{path}[{position}]")


def _find_in_struct(value, base, path):
    fields = {field.name: field for field in msgspec.structs.fields(base)}
    for name in value:
        if name not in fields:
            yield _join(path, name), f"one of the fields {', '.join(fields)}"
    for name, field in fields.items():
        if name in value:
            yield from _find_problems(value[name], field.type, _join(path, name))
        elif field.required:
            yield _join(path, name), "a value, the field is missing"


def _find_in_value(value, expected_type, path):
    try:
        msgspec.convert(value, expected_type, strict=True)
    except msgspec.ValidationError as exc:
        return [(path, _describe(exc, expected_type))]
    return []


def _describe(exc, expected_type):
    if isinstance(expected_type, type) and issubclass(expected_type, Enum):
        return f"one of {', '.join(member.value for member in expected_type)}"
    return str(exc).removeprefix("Expected ").replace("`", "")


def _is_struct(expected_type):
    return isinstance(expected_type, type) and issubclass(expected_type, msgspec.Struct)


def _join(path, name):
    return f"{path}.{name}" if path else str(name)
