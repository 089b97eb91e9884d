"""The groups of the document that have a list page and a form.

A group is a field of the document that maps names to objects, such as
``searches``; a part is one of these named objects.
"""

from dataclasses import dataclass

import msgspec

from wisteriaworks.console_fields import CALLER, OBJECTIVE, SEARCH, FormSpec
from wisteriaworks.generated.document import Domain, Index


@dataclass(frozen=True, slots=True)
class Group:
    """Describe one group; ``columns`` names the fields that its list shows."""

    name: str
    title: str
    noun: str
    form: FormSpec
    columns: tuple[str, ...]
    # Initial content of a new part, for a group whose form has only a name.
    empty_part: msgspec.Struct | None = None

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
        # The forms of these groups have only a name; other pages edit the content.
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
