"""Select the route of a request by host and longest path prefix."""

from wisteriaworks.accounts.directory import KeyDirectory


class RouteIndex:
    """Index the routes and the accounts' keys of one configuration version.

    A lookup takes one dictionary access per path segment, whatever the number of
    routes.
    """

    def __init__(self, document, version):
        self.version = version
        self.document = document
        self.keys = KeyDirectory(document.accounts)
        self._routes = {(r.host, r.path_prefix): r for r in document.routes}

    def find(self, host, path):
        """Return the route with the longest prefix, or None."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


class ServiceRotation:
    """Distribute the requests of a route over its services by weight.

    Smooth weighted round-robin keeps the proportions over short spans too; a random
    choice keeps them only over long ones.
    """

    def __init__(self, rng):
        self._rng = rng
        self._credits = {}

    def choose(self, route):
        """Return the service for the next request of a route."""
        shares = [s for s in route.services if s.weight > 0]
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        key = (route.name, route.services)
        credits = self._credits.get(key)
        if credits is None:
            credits = self._credits[key] = self._make_credits(shares, total)
        for share in shares:
            credits[share.service] += share.weight
        chosen = max(shares, key=lambda share: credits[share.service])
        credits[chosen.service] -= total
        return chosen.service

    def retain(self, routes):
        """Drop the state of all other routes."""
        current = {(route.name, route.services) for route in routes}
        self._credits = {k: v for k, v in self._credits.items() if k in current}

    def _make_credits(self, shares, total):
        # Gateways that start together must not all choose the same service.
        return {s.service: self._rng.uniform(0, total) for s in shares}
