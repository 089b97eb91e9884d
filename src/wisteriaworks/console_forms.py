"""Convert parts of the configuration document to form fields and back."""

import math
import re
from dataclasses import dataclass

import msgspec

from wisteriaworks.console_fields import FormSpec, Widget, is_valid_name
from wisteriaworks.problems import find_schema_problems

NAME_FIELD = "name"
CHECKED = "yes"
# Larger integers lose precision in programs that read JSON numbers as floats.
MAX_INTEGER = 2**53 - 1
_INTEGER = re.compile("-?[0-9]{1,20}")
_DECIMAL = re.compile(r"-?[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]{1,3})?")


@dataclass(frozen=True, slots=True)
class ParsedPart:
    """Represent a parsed part, or None and the error messages by field."""

    part: msgspec.Struct | None
    errors: dict[str, str]


@dataclass(frozen=True, slots=True)
class Input:
    """Describe one form field for the template."""

    name: str
    label: str
    hint: str
    widget: Widget
    values: tuple[str, ...]
    options: tuple[str, ...]
    error: str


def render_part(spec, part):
    """Return form fields from which the parse functions restore the same part."""
    data = msgspec.to_builtins(part)
    return {field.name: _format_value(data[field.name]) for field in spec.fields}


def render_defaults(spec):
    """Return the form fields of a new part, with the defaults of its class."""
    defaults = {
        field.name: msgspec.to_builtins(field.default)
        for field in msgspec.structs.fields(spec.struct_type)
        if not field.required
    }
    names = [field.name for field in spec.fields if field.name in defaults]
    return {name: _format_value(defaults[name]) for name in names}


def parse_part(spec: FormSpec, fields, choices):
    """Parse form fields into a part, or errors by field.

    ``fields`` has the texts of each field. ``choices`` maps a group of the document
    to the names that fields with this group in ``FieldSpec.choices`` can select.
    """
    data, errors = _parse_fields(spec, fields, choices)
    part = None if errors else msgspec.convert(data, spec.struct_type)
    return ParsedPart(part, errors)


def parse_named(spec: FormSpec, fields, choices, name, existing_names):
    """Parse form fields like ``parse_part``, and check and set the name."""
    data, errors = _parse_fields(spec, fields, choices)
    if error := check_name(name, existing_names):
        errors[NAME_FIELD] = error
    if any(
        field.name == NAME_FIELD for field in msgspec.structs.fields(spec.struct_type)
    ):
        data[NAME_FIELD] = name
    part = None if errors else msgspec.convert(data, spec.struct_type)
    return ParsedPart(part, errors)


def check_name(text, existing_names):
    """Return the error message for a part's name, or an empty text."""
    if not is_valid_name(text):
        return (
            "Expected 1 to 64 letters, digits, dots, underscores or hyphens, "
            "with a letter or digit first."
        )
    return (
        f"Expected a name other than {text}, which exists."
        if text in existing_names
        else ""
    )


def list_inputs(spec, fields, errors, choices):
    """Return the fields of a form for the template."""
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


def _parse_fields(spec, fields, choices):
    types = {
        field.name: field.type for field in msgspec.structs.fields(spec.struct_type)
    }
    data, errors = {}, {}
    for field in spec.fields:
        texts = [text.strip() for text in fields.get(field.name, ())]
        try:
            data[field.name] = _parse_value(field, texts)
            _check_value(field, data[field.name], types[field.name], choices)
        except ValueError as exc:
            errors[field.name] = str(exc)
    return data, errors


def _format_value(value):
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


def _parse_value(field, texts):
    """Return the value of one field as a built-in type. Raises ValueError."""
    text = texts[0] if texts else ""
    match field.widget:
        case Widget.CHECKBOX:
            return bool(texts)
        case Widget.MANY:
            return texts
        case Widget.OPTIONAL_DECIMAL if not text:
            return None
        case Widget.INTEGER:
            return _parse_integer(field, text)
        case Widget.DECIMAL | Widget.OPTIONAL_DECIMAL:
            return _parse_decimal(field, text)
    return text


def _parse_integer(field, text):
    if not _INTEGER.fullmatch(text) or abs(int(text)) > MAX_INTEGER:
        raise ValueError(_format_error(field, "a whole number"))
    return int(text)


def _parse_decimal(field, text):
    if not _DECIMAL.fullmatch(text) or not math.isfinite(float(text)):
        raise ValueError(_format_error(field, "a number"))
    return float(text)


def _check_value(field, value, expected_type, choices):
    """Raise ValueError if the value is not valid in the document."""
    names = choices.get(field.choices, ()) if field.choices else ()
    selected = value if field.widget is Widget.MANY else [value]
    if field.choices and not set(selected) <= set(names):
        raise ValueError(
            f"Expected names that exist. Existing names: {', '.join(names) or 'none'}."
        )
    problems = find_schema_problems(value, expected_type)
    if problems:
        raise ValueError(_format_error(field, problems[0].expected))
    if field.check is not None and not field.check(value):
        raise ValueError(_format_error(field, ""))


def _format_error(field, expected):
    return f"Expected {field.expected or expected}."


def _list_options(field, values, choices):
    known = field.options or choices.get(field.choices, ())
    # In a MANY field, selected names come first, so that submitting the form
    # unchanged keeps their order. Selected names that no longer exist stay visible.
    first = values if field.widget is Widget.MANY else ()
    last = () if field.widget is Widget.MANY else (v for v in values if v)
    return tuple(dict.fromkeys((*first, *known, *last)))
