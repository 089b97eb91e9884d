"""Immutable view of the configuration and the routes in an entry."""

import functools
from collections.abc import Mapping
from dataclasses import dataclass

from wisteriaworks.generated.document import Document, DomainState, Server
from wisteriaworks.generated.messages import Route


@dataclass(frozen=True)
class View:
    """Represent one configuration version and the routes known with it."""

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
        """Return a view with these values, or this view if they are the same objects.

        The table of servers is reused while the document is the same. Returning
        the same view lets others reuse the data they derived from it.
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
        """Return whether operators have taken a failure domain out."""
        domain = self.document.domains.get(name)
        return domain is not None and domain.state is DomainState.OUT


EMPTY_VIEW = View(config_version=0, document=Document(), routes={})
