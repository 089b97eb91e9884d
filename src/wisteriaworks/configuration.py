"""Read, check, write and compare configuration documents."""

import json
from dataclasses import dataclass

import msgspec
import yaml

from wisteriaworks.document_checks import list_rule_problems
from wisteriaworks.errors import DocumentError
from wisteriaworks.generated.document import Document, Domain
from wisteriaworks.problems import Problem, Severity, find_schema_problems

ABSENT = "absent"
# Wide enough for a server on one line, so that a text diff shows one line for a
# changed server.
_RENDER_WIDTH = 240
_MAX_LISTED_PROBLEMS = 50
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_DUMPER = getattr(yaml, "CSafeDumper", yaml.SafeDumper)


@dataclass(frozen=True, slots=True)
class Change:
    """Represent a changed field; values are JSON text or ``ABSENT``."""

    path: str
    old: str
    new: str

    def __str__(self):
        return f"{self.path}: {self.old} -> {self.new}"


def parse_document(text):
    """Parse a YAML text into a document.

    Raises DocumentError with every field that does not match the schema.
    Rules that the schema cannot express are checked by ``check_document``.
    """
    data, problems = _load_yaml(text)
    problems += find_schema_problems(data, Document)
    if problems:
        raise_problems(problems)
    return msgspec.convert(data, Document, strict=True)


def check_document(document):
    """Return all problems of a document, errors first."""
    problems = find_schema_problems(msgspec.to_builtins(document), Document)
    problems += list_rule_problems(document)
    return sorted(problems, key=lambda problem: problem.severity.value)


def list_errors(problems):
    """Return the problems of severity ERROR."""
    return [p for p in problems if p.severity is Severity.ERROR]


def raise_problems(problems, prefix=""):
    """Raise DocumentError with all problems in one message."""
    listed = "; ".join(map(str, problems[:_MAX_LISTED_PROBLEMS]))
    rest = len(problems) - _MAX_LISTED_PROBLEMS
    more = f"; and {rest} more" if rest > 0 else ""
    raise DocumentError(f"{prefix}{listed}{more}", tuple(map(str, problems)))


def render_document(document):
    """Return a document as YAML, in an order that depends only on its content."""
    data = msgspec.to_builtins(document, order="deterministic")
    return yaml.dump(
        data,
        Dumper=_DUMPER,
        sort_keys=False,
        default_flow_style=None,
        allow_unicode=True,
        width=_RENDER_WIDTH,
    )


def diff_documents(old, new):
    """Return the changes from one document, or from None, to another.

    Servers are compared by name; their order is ignored.
    """
    if old is None:
        old = Document()
    return list(_list_changes(key_servers_by_name(old), key_servers_by_name(new), ""))


def key_servers_by_name(document):
    """Return a document as built-in types, with each index's servers by name."""
    data = msgspec.to_builtins(document, order="deterministic")
    for index in data["indexes"].values():
        index["servers"] = {server["name"]: server for server in index["servers"]}
    return data


def set_domain_state(document, name, state):
    """Return a copy with the state of one domain set. Raises DocumentError."""
    if name not in document.domains:
        known = ", ".join(sorted(document.domains)) or "the domains; none exist"
        raise_problems([Problem(f"domains.{name}", f"one of {known}")])
    domain = Domain(state=state)
    return msgspec.structs.replace(document, domains=document.domains | {name: domain})


def _load_yaml(text):
    try:
        loader = _LOADER(text)
        try:
            node = loader.get_single_node()
            duplicates = list(_find_duplicates(node, "", set()))
            data = loader.construct_document(node) if node is not None else None
        finally:
            loader.dispose()
    except (yaml.YAMLError, ValueError, RecursionError) as exc:
        # An invalid timestamp raises ValueError, and deeply nested text can raise
        # RecursionError, for example if yaml has no C loader.
        reason = " ".join(str(exc).split())
        raise DocumentError(f"document: expected valid YAML, got: {reason}") from exc
    return data, duplicates


def _find_duplicates(node, path, seen):
    """Yield a problem per duplicate key; the YAML loader keeps only the last."""
    if node is None or id(node) in seen:
        return
    seen.add(id(node))
    if isinstance(node, yaml.SequenceNode):
        for position, child in enumerate(node.value):
            yield from _find_duplicates(child, f"{path}[{position}]", seen)
    if isinstance(node, yaml.MappingNode):
        names = set()
        for key, child in node.value:
            child_path = f"{path}.{key.value}".lstrip(".")
            if isinstance(key, yaml.ScalarNode) and key.value in names:
                yield Problem(child_path, "each key once, got this key more than once")
            names.add(key.value if isinstance(key, yaml.ScalarNode) else None)
            yield from _find_duplicates(child, child_path, seen)


def _list_changes(old, new, path):
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            child = f"{path}.{key}".lstrip(".")
            # ``...`` stands for the value of a key that one side does not have.
            yield from _list_changes(old.get(key, ...), new.get(key, ...), child)
    elif old != new:
        yield Change(path, _render_value(old), _render_value(new))


def _render_value(value):
    return ABSENT if value is ... else json.dumps(value, ensure_ascii=False)
