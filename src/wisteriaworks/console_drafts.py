"""Keep an operator's changes apart from the configuration in force."""

from dataclasses import dataclass

from wisteriaworks.configuration import diff_documents
from wisteriaworks.generated.document import Document


@dataclass(frozen=True, slots=True)
class Draft:
    """Hold a changed document with the version that it started from."""

    version: int
    base: Document
    document: Document

    def has_changes(self):
        """Say whether the draft differs from its base."""
        return self.document != self.base

    def list_changes(self):
        """Return the changes of the draft by path."""
        return diff_documents(self.base, self.document)


def start_draft(version, document):
    """Return a draft without changes; the first configuration is empty."""
    document = document or Document()
    return Draft(version, document, document)
