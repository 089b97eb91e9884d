"""Write docs/settings.md from the schemas of the settings and the document."""

from pathlib import Path

import yaml

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "settings.md"
SECTIONS = (
    (
        "Process settings",
        "settings.yaml",
        "Each process reads one YAML file. Unknown fields are errors. Gateways and "
        "control members adopt changed seeds while they run; other changes take "
        "full effect at the next start of the process.",
    ),
    (
        "Configuration document",
        "document.yaml",
        "One YAML document configures the whole system; `Document` is its root. "
        "Operators change it with `wisteria config apply`, see "
        "[OPERATIONS.md](OPERATIONS.md). `wisteria config check` also applies the "
        "rules that span fields: references, uniqueness, keyed searches and replica "
        "sets.",
    ),
)
_HEADER = "| field | type | default | limits | meaning |\n|---|---|---|---|---|\n"
_LIMITS = {
    "ge": "at least {}",
    "gt": "more than {}",
    "le": "at most {}",
    "lt": "less than {}",
    "min_length": "length at least {}",
    "max_length": "length at most {}",
    "pattern": "matches `{}`",
}


def render_page():
    """Return the page as Markdown."""
    parts = [
        "# Settings and configuration document\n",
        "Written by tools/settings_page.py from schema/settings.yaml and "
        "schema/document.yaml; do not edit.\n",
        *(_render_section(*section) for section in SECTIONS),
    ]
    return "\n".join(parts)


def _render_section(title, name, text):
    schema = yaml.safe_load((ROOT / "schema" / name).read_text())
    enums = schema.get("enums", {})
    structs = [
        _render_struct(struct, spec, enums)
        for struct, spec in schema["structs"].items()
    ]
    return "\n".join([f"## {title}\n", f"{text}\n", *structs])


def _render_struct(name, spec, enums):
    rows = "".join(
        _render_row(field, field_spec, enums)
        for field, field_spec in spec["fields"].items()
    )
    return f"### {name}\n\n{spec['doc']}\n\n{_HEADER}{rows}"


def _render_row(field, field_spec, enums):
    cells = (
        f"`{field}`",
        _render_type(field_spec["type"]),
        _render_default(field_spec),
        _render_limits(field_spec, enums),
        field_spec.get("doc", ""),
    )
    return f"| {' | '.join(cell.replace('|', chr(92) + '|') for cell in cells)} |\n"


def _render_type(kind):
    names = {
        "str": "text",
        "int": "integer",
        "float": "number",
        "bool": "true or false",
        "tuple[str, ...]": "list of text",
        "str | None": "text or null",
        "float | None": "number or null",
    }
    match kind.removesuffix("]").split("["):
        case ["dict", inner]:
            return f"map of name to `{inner.removeprefix('str, ')}`"
        case ["tuple", inner] if kind not in names:
            return f"list of `{inner.removesuffix(', ...')}`"
    return names.get(kind, f"`{kind}`")


def _render_default(field_spec):
    match field_spec:
        case {"default_factory": "dict"}:
            return "empty"
        case {"default_factory": _}:
            return "all defaults"
        case {"default_enum": value}:
            return f"`{value.rpartition('.')[2].lower()}`"
        case {"default": None}:
            return "null"
        case {"default": []}:
            return "empty"
        case {"default": value}:
            return f"`{str(value).lower() if isinstance(value, bool) else value}`"
    return "required"


def _render_limits(field_spec, enums):
    limits = [
        text.format(field_spec[key])
        for key, text in _LIMITS.items()
        if key in field_spec
    ]
    values = enums.get(field_spec["type"], {}).get("values", [])
    if values:
        limits.append(f"one of {', '.join(f'`{value}`' for value in values)}")
    return ", ".join(limits)


def main():
    """Write the page."""
    PAGE.write_text(render_page())


if __name__ == "__main__":
    main()
