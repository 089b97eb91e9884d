"""Generate frozen data classes from the schema files.

Each ``schema/NAME.yaml`` becomes ``src/wisteriaworks/generated/NAME.py``. The
first line of the output records a hash over the schema and the generated code.
tests/test_generated.py recomputes the hash and detects stale code, so a build does
not run this program.
"""

import hashlib
import textwrap
from pathlib import Path

import yaml

ROOT = Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "schema"
OUTPUT = ROOT / "src" / "wisteriaworks" / "generated"
CONSTRAINTS = ("ge", "gt", "le", "lt", "min_length", "max_length", "pattern")


def _render_doc(doc, indent):
    lines = textwrap.wrap(doc, 80 - indent)
    prefix = " " * indent
    if len(lines) == 1:
        return f'{prefix}"""{lines[0]}"""'
    body = "\n".join(prefix + line for line in lines)
    return f'{prefix}"""{body.strip()}\n{prefix}"""'


def _render_enum(name, spec):
    values = "\n".join(f'    {v.upper()} = "{v}"' for v in spec["values"])
    doc = _render_doc(spec["doc"], 4)
    return f"class {name}(Enum):\n{doc}\n\n{values}\n"


def _render_field(name, spec):
    kind = spec["type"]
    limits = [f"{key}={spec[key]!r}" for key in CONSTRAINTS if key in spec]
    if limits:
        kind = f"Annotated[{kind}, Meta({', '.join(limits)})]"
    line = f"    {name}: {kind}"
    match spec:
        case {"default_factory": factory}:
            line += f" = field(default_factory={factory})"
        case {"default_enum": value}:
            line += f" = {value}"
        case {"default": list(items)}:
            line += f" = {tuple(items)!r}"
        case {"type": "bytes", "default": text}:
            line += f" = {text.encode()!r}"
        case {"default": value}:
            line += f" = {value!r}"
    comment = "\n".join(
        f"    # {text}" for text in textwrap.wrap(spec.get("doc", ""), 80)
    )
    return f"{comment}\n{line}" if comment else line


def _render_struct(name, spec, options):
    doc = _render_doc(spec["doc"], 4)
    fields = "\n".join(
        _render_field(field, field_spec)
        for field, field_spec in (spec.get("fields") or {}).items()
    )
    flags = "".join(f", {key}={value!r}" for key, value in options.items())
    body = f"\n\n{fields}" if fields else ""
    return f"class {name}(Struct, frozen=True{flags}):\n{doc}{body}\n"


def _render_union(name, members):
    return f"{name} = {' | '.join(members)}\n"


def render_module(schema):
    """Return the Python source for one parsed schema."""
    parts = [
        f'"""{schema["doc"]}"""\n',
        "from enum import Enum\nfrom typing import Annotated, Any\n\n"
        "from msgspec import Meta, Raw, Struct, field\n"
        + "".join(
            f"from wisteriaworks.generated.{module} import {', '.join(names)}\n"
            for module, names in schema.get("imports", {}).items()
        ),
    ]
    options = schema.get("options", {})
    parts += [_render_enum(*item) for item in schema.get("enums", {}).items()]
    parts += [
        _render_struct(name, spec, options)
        for name, spec in schema.get("structs", {}).items()
    ]
    parts += [_render_union(*item) for item in schema.get("unions", {}).items()]
    return "\n\n".join(parts)


def compute_hash(schema_text, body):
    """Return the hash over a schema and its generated code."""
    return hashlib.sha256(f"{schema_text}\0{body}".encode()).hexdigest()


def main():
    """Write every generated module."""
    for path in sorted(SCHEMA.glob("*.yaml")):
        text = path.read_text()
        body = render_module(yaml.safe_load(text))
        header = f"# Generated from schema/{path.name}; sha256 "
        target = OUTPUT / f"{path.stem}.py"
        target.write_text(f"{header}{compute_hash(text, body)}\n{body}")


if __name__ == "__main__":
    main()
