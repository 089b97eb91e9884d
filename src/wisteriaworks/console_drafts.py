"""Drafts: an operator's changes that are not in force yet."""

import hashlib
from dataclasses import dataclass

import msgspec

from wisteriaworks.configuration import Change, diff_documents, key_servers_by_name
from wisteriaworks.generated.document import (
    Caller,
    Document,
    Domain,
    Index,
    Limits,
    Objective,
    Route,
    Search,
    Server,
    Service,
)

_PART_CLASSES = {
    "searches": Search,
    "callers": Caller,
    "domains": Domain,
    "objectives": Objective,
    "services": Service,
}


@dataclass(frozen=True, slots=True)
class Draft:
    """Represent a changed document and the version that it is based on."""

    version: int
    base: Document
    document: Document

    def has_changes(self):
        """Return whether the draft differs from its base."""
        return self.document != self.base

    def list_changes(self):
        """Return the changes of the draft by path."""
        return diff_documents(self.base, self.document)

    def compute_digest(self):
        """Return a hash of the content; a form identifies the reviewed draft by it."""
        data = msgspec.json.encode(self.document, order="deterministic")
        return hashlib.sha256(data).hexdigest()


@dataclass(frozen=True, slots=True)
class Rebase:
    """Represent both sides of a conflict and the draft on the newer version.

    At paths that both sides changed, the draft has the newer version's values.
    """

    draft: Draft
    mine: list[Change]
    theirs: list[Change]
    overlaps: list[str]


def start_draft(version, document):
    """Return a draft without changes; it is empty if ``document`` is None."""
    document = document or Document()
    return Draft(version, document, document)


def rebase_draft(draft, version, document):
    """Apply the draft's changes to a newer version. Returns a Rebase."""
    newer = document or Document()
    overlaps = []
    sides = map(key_servers_by_name, (draft.base, draft.document, newer))
    merged = _merge(*sides, "", overlaps)
    return Rebase(
        draft=Draft(version, newer, _create_document(merged)),
        mine=draft.list_changes(),
        theirs=diff_documents(draft.base, newer),
        overlaps=overlaps,
    )


def _merge(base, mine, theirs, path, overlaps):
    """Return the three-way merge; overlapping paths get the value of ``theirs``."""
    if mine in (base, theirs):
        return theirs
    if theirs == base:
        return mine
    if not all(isinstance(side, dict) for side in (base, mine, theirs)):
        overlaps.append(path)
        return theirs
    # Names may contain dots, so paths are only for display.
    merged = {
        # ``...`` stands for the value of a key that a side does not have.
        key: _merge(
            *(side.get(key, ...) for side in (base, mine, theirs)),
            f"{path}.{key}".lstrip("."),
            overlaps,
        )
        for key in theirs | mine | base
    }
    return {key: value for key, value in merged.items() if value is not ...}


def _create_document(data):
    # The parts are converted one by one, since a draft may have an index without
    # servers, which the schema of the entire document rejects and the review page
    # reports.
    groups = {
        group: {n: msgspec.convert(part, part_class) for n, part in data[group].items()}
        for group, part_class in _PART_CLASSES.items()
    }
    indexes = {
        name: Index(servers=msgspec.convert(_list_servers(index), tuple[Server, ...]))
        for name, index in data["indexes"].items()
    }
    limits = msgspec.convert(data["limits"], Limits)
    routes = msgspec.convert(data["routes"], tuple[Route, ...])
    return Document(indexes=indexes, limits=limits, routes=routes, **groups)


def _list_servers(index):
    return list(index["servers"].values())
