"""The entry's frozen picture of the configuration and the routes."""

import functools
from collections.abc import Mapping
from dataclasses import dataclass

from wisteriaworks.generated.document import Document, DomainState, Server
from wisteriaworks.generated.messages import Route


@dataclass(frozen=True)
class View:
    """Hold one configuration version and the routes known with it."""

    config_version: int
    document: Document
    routes: Mapping[str, Route]

    @functools.cached_property
    def servers(self) -> Mapping[str, Server]:
        """Return all servers of the document by name."""
        return {
            server.name: server
            for index in self.document.indexes.values()
            for server in index.servers
        }

    def replace(self, config_version, document, routes):
        """Return a view of these parts, or this one if it has the same objects.

        The table of servers is kept with the document it was made from, and
        what others derive from a view is kept while nothing changes.
        """
        is_same_document = document is self.document
        if (
            is_same_document
            and routes is self.routes
            and config_version == self.config_version
        ):
            return self
        view = View(config_version, document, routes)
        if is_same_document and "servers" in self.__dict__:
            view.__dict__["servers"] = self.servers
        return view

    def is_domain_out(self, name):
        """Say whether operators have taken a failure domain out."""
        domain = self.document.domains.get(name)
        return domain is not None and domain.state is DomainState.OUT


EMPTY_VIEW = View(config_version=0, document=Document(), routes={})
