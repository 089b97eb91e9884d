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

    def is_domain_out(self, name):
        """Say whether operators have taken a failure domain out."""
        domain = self.document.domains.get(name)
        return domain is not None and domain.state is DomainState.OUT


EMPTY_VIEW = View(config_version=0, document=Document(), routes={})
