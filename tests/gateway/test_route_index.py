"""Guard against requests on a wrong route, and services with a wrong share."""

import random
from collections import Counter

import pytest
from gateway_fakes import make_document, make_route

from wisteriaworks.gateway.route_index import RouteIndex, ServiceRotation
from wisteriaworks.generated.document import ServiceShare

ROUTES = RouteIndex(
    make_document(
        make_route(name="short", path_prefix="/a/"),
        make_route(name="long", path_prefix="/a/b/"),
        make_route(name="other", host="other.example", path_prefix="/"),
    ),
    version=3,
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h.example", "/a/x", "short"),
        ("h.example", "/a/b/x", "long"),
        ("h.example", "/a/b", "short"),
        ("h.example", "/a/bc/", "short"),
        ("h.example", "/a", None),
        ("h.example", "/", None),
        ("other.example", "/a/b/x", "other"),
        ("unknown.example", "/a/", None),
    ],
)
def test_longest_prefix_of_the_host_wins(host, path, name):
    route = ROUTES.find(host, path)
    assert (route and route.name) == name


@pytest.mark.parametrize(
    "weights", [(1.0, 1.0), (3.0, 1.0), (0.0, 5.0), (1.0, 2.0, 7.0)]
)
def test_any_span_keeps_the_weights(weights):
    """A random choice would deviate from the weights over a short span."""
    shares = tuple(
        ServiceShare(service=f"s{i}", weight=weight) for i, weight in enumerate(weights)
    )
    route = make_route(services=shares)
    rotation = ServiceRotation(random.Random(1))
    chosen = [rotation.choose(route) for _ in range(500)]
    total = sum(weights)
    for start in (0, 37, 300):
        counts = Counter(chosen[start : start + 100])
        for share in shares:
            expected = 100 * share.weight / total
            assert abs(counts[share.service] - expected) <= len(weights)
