"""Turn parts of the configuration document into form fields and back."""

import math
import re
from dataclasses import dataclass

import msgspec

from wisteriaworks.console_fields import FormSpec, Widget, is_valid_name
from wisteriaworks.problems import find_schema_problems

NAME_FIELD = "name"
CHECKED = "yes"
# Larger integers lose digits in programs that read JSON numbers as floats.
MAX_INTEGER = 2**53 - 1
_INTEGER = re.compile("-?[0-9]{1,20}")
_DECIMAL = re.compile(r"-?[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]{1,3})?")


@dataclass(frozen=True, slots=True)
class Parsed:
    """Hold a part of the document, or the errors by field without it."""

    part: msgspec.Struct | None
    errors: dict[str, str]


@dataclass(frozen=True, slots=True)
class Input:
    """Describe one field of a form to the template."""

    name: str
    label: str
    hint: str
    widget: Widget
    values: tuple[str, ...]
    options: tuple[str, ...]
    error: str


def render_part(spec, part):
    """Return the form fields that ``parse_part`` reads back as the same part."""
    plain = msgspec.to_builtins(part)
    return {field.name: _write(plain[field.name]) for field in spec.fields}


def render_defaults(spec):
    """Return the form fields of a new part."""
    defaults = {
        field.name: msgspec.to_builtins(field.default)
        for field in msgspec.structs.fields(spec.kind)
        if not field.required
    }
    names = [field.name for field in spec.fields if field.name in defaults]
    return {name: _write(defaults[name]) for name in names}


def parse_part(spec: FormSpec, fields, choices):
    """Return the part that form fields describe, or the errors by field.

    ``fields`` has the texts of each field; ``choices`` has the names that may
    be chosen, by the field's ``choices``.
    """
    plain, errors = _read_fields(spec, fields, choices)
    part = None if errors else msgspec.convert(plain, spec.kind)
    return Parsed(part, errors)


def parse_named(spec: FormSpec, fields, choices, name, taken):
    """Return what ``parse_part`` returns, with an error of the name, if any."""
    plain, errors = _read_fields(spec, fields, choices)
    if error := check_name(name, taken):
        errors[NAME_FIELD] = error
    if any(field.name == NAME_FIELD for field in msgspec.structs.fields(spec.kind)):
        plain[NAME_FIELD] = name
    part = None if errors else msgspec.convert(plain, spec.kind)
    return Parsed(part, errors)


def check_name(text, taken):
    """Return what is wrong with the name of a new part, or an empty text."""
    if not is_valid_name(text):
        return (
            "Expected 1 to 64 letters, digits, dots, underscores or hyphens, "
            "with a letter or digit first."
        )
    return f"Expected a name other than {text}, which exists." if text in taken else ""


def list_inputs(spec, fields, errors, choices):
    """Return the fields of a form as the template shows them."""
    return [
        Input(
            name=field.name,
            label=field.label,
            hint=field.hint,
            widget=field.widget,
            values=tuple(fields.get(field.name, ())),
            options=_list_options(field, fields.get(field.name, ()), choices),
            error=errors.get(field.name, ""),
        )
        for field in spec.fields
    ]


def _read_fields(spec, fields, choices):
    types = {field.name: field.type for field in msgspec.structs.fields(spec.kind)}
    plain, errors = {}, {}
    for field in spec.fields:
        texts = [text.strip() for text in fields.get(field.name, ())]
        try:
            plain[field.name] = _read(field, texts)
            _check(field, plain[field.name], types[field.name], choices)
        except ValueError as exc:
            errors[field.name] = str(exc)
    return plain, errors


def _write(value):
    match value:
        case True:
            return (CHECKED,)
        case False:
            return ()
        case None:
            return ("",)
        case list() | tuple():
            return tuple(value)
    return (str(value),)


def _read(field, texts):
    """Return the plain value of one field. Raises ValueError."""
    text = texts[0] if texts else ""
    match field.widget:
        case Widget.CHECKBOX:
            return bool(texts)
        case Widget.MANY:
            return texts
        case Widget.OPTIONAL_DECIMAL if not text:
            return None
        case Widget.INTEGER:
            return _read_integer(field, text)
        case Widget.DECIMAL | Widget.OPTIONAL_DECIMAL:
            return _read_decimal(field, text)
    return text


def _read_integer(field, text):
    if not _INTEGER.fullmatch(text) or abs(int(text)) > MAX_INTEGER:
        raise ValueError(_describe(field, "a whole number"))
    return int(text)


def _read_decimal(field, text):
    if not _DECIMAL.fullmatch(text) or not math.isfinite(float(text)):
        raise ValueError(_describe(field, "a number"))
    return float(text)


def _check(field, value, kind, choices):
    """Raise ValueError if the document may not have the value."""
    names = choices.get(field.choices, ()) if field.choices else ()
    chosen = value if field.widget is Widget.MANY else [value]
    if field.choices and not set(chosen) <= set(names):
        raise ValueError(f"Expected names from: {', '.join(names) or 'none exist'}.")
    problems = find_schema_problems(value, kind)
    if problems:
        raise ValueError(_describe(field, problems[0].expected))
    if field.check is not None and not field.check(value):
        raise ValueError(_describe(field, ""))


def _describe(field, expected):
    return f"Expected {field.expected or expected}."


def _list_options(field, values, choices):
    known = field.options or choices.get(field.choices, ())
    # The chosen names come first, in their order, so that a form that is sent
    # back unchanged has the same order; unknown ones stay visible.
    first = values if field.widget is Widget.MANY else ()
    last = () if field.widget is Widget.MANY else (v for v in values if v)
    return tuple(dict.fromkeys((*first, *known, *last)))
