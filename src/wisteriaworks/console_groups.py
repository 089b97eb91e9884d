"""Describe the groups of the document that have a list and a form."""

from dataclasses import dataclass

import msgspec

from wisteriaworks.console_fields import CALLER, OBJECTIVE, SEARCH, FormSpec
from wisteriaworks.generated.document import Domain, Index


@dataclass(frozen=True, slots=True)
class Group:
    """Describe one group; ``columns`` are the fields shown in its list."""

    name: str
    title: str
    noun: str
    form: FormSpec
    columns: tuple[str, ...]
    # A new part of a group whose form has a name only.
    blank: msgspec.Struct | None = None

    def list_columns(self):
        """Return the specifications of the fields in the list."""
        return [field for field in self.form.fields if field.name in self.columns]


GROUPS = {
    group.name: group
    for group in (
        Group(
            "searches",
            "Searches",
            "search",
            SEARCH,
            ("indexes", "routing", "idempotent", "minimum_coverage"),
        ),
        Group(
            "callers",
            "Callers",
            "caller",
            CALLER,
            ("searches", "timeout_ms", "priority", "minimum_coverage"),
        ),
        Group(
            "objectives",
            "Objectives",
            "objective",
            OBJECTIVE,
            ("search", "caller", "latency_ms", "latency_target", "coverage_target"),
        ),
        # New ones have a name only; their content is edited elsewhere.
        Group(
            "domains",
            "Failure domains",
            "failure domain",
            FormSpec(Domain, ()),
            (),
            Domain(),
        ),
        Group(
            "indexes", "Indexes", "index", FormSpec(Index, ()), (), Index(servers=())
        ),
    )
}
