"""Guard against accepted invalid configurations, and rejected valid ones."""

import hashlib

import msgspec
import pytest

from wisteriaworks.errors import DocumentError
from wisteriaworks.generated.document import Account
from wisteriaworks.platform.config_format import read_configuration

ROUTE = {
    "name": "r",
    "hostname": "h.example",
    "pathPrefix": "/p/",
    "routeType": "idempotent",
    "timeoutMs": 2000,
    "targetLatencyMs": 144,
    "priority": 1,
    "service": "s1",
    "attempts": 2,
}
SHARDED = {key: value for key, value in ROUTE.items() if key != "service"} | {
    "name": "q",
    "pathPrefix": "/q/",
    "shardServices": ["s1", "s2"],
    "topK": 20,
    "minShardRatio": 0.89,
}
SPLIT = {key: value for key, value in ROUTE.items() if key != "service"} | {
    "name": "w",
    "pathPrefix": "/w/",
    "routeType": "non_idempotent",
    "trafficSplit": [
        {"service": "s1", "weight": 3},
        {"service": "s2", "weight": 1.5},
    ],
}


def make_service(name):
    return {
        "name": name,
        "healthCheckPath": "/healthz",
        "maxConnections": 27,
        "protocol": "h1",
        "tlsEnabled": False,
        "coldStartS": 3.0,
        "coldPerS": 0.0,
    }


def encode(*routes, **fields):
    plain = {
        "version": 7,
        "routes": routes,
        "services": [make_service("s1"), make_service("s2")],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    return msgspec.json.encode(plain | fields)


def test_routes_of_each_kind_are_decoded():
    read = read_configuration(encode(ROUTE, SHARDED, SPLIT))
    plain, sharded, split = read.document.routes
    assert read.version == 7
    assert (plain.idempotent, plain.services[0].service) == (True, "s1")
    assert (sharded.shards, sharded.top_records) == (("s1", "s2"), 20)
    assert sharded.minimum_coverage == 0.89
    assert not split.idempotent
    assert [share.weight for share in split.services] == [3.0, 1.5]
    assert read.document.limits.idle_timeout_ms == 15000
    assert read.document.services["s2"].connections == 27


@pytest.mark.parametrize("kind", ["non_idempotent", "safe", "unheard-of"])
def test_only_the_idempotent_kind_may_be_repeated(kind):
    (route,) = read_configuration(encode(ROUTE | {"routeType": kind})).document.routes
    assert not route.idempotent


@pytest.mark.parametrize(
    "body",
    [
        encode(ROUTE)[:-20],
        b"",
        b"\xff",
        b"[]",
        encode(ROUTE | {"service": "unknown"}),
        encode(SHARDED | {"shardServices": ["s1", "unknown"]}),
        encode(ROUTE, ROUTE | {"name": "same place"}),
        encode(SPLIT | {"trafficSplit": [{"service": "s1", "weight": 0}]}),
        encode(ROUTE | {"timeoutMs": 0}),
        encode(ROUTE | {"timeoutMs": "soon"}),
        encode(ROUTE, version="seven"),
    ],
)
def test_invalid_configuration_is_refused(body):
    with pytest.raises(DocumentError):
        read_configuration(body)


TENANT = {
    "name": "ralo620",
    "apiKeys": ["secret-1", "secret-2"],
    "priority": 1,
    "ratePerS": 9,
    "burstSize": 4.5,
}


def test_accounts_are_stored_without_their_keys():
    body = encode(ROUTE | {"public": True}, tenants=[TENANT, {"name": "plain"}])
    document = read_configuration(body).document
    account = document.accounts["ralo620"]
    digest = hashlib.sha256(b"secret-2").hexdigest()
    assert account.key_sha256[1] == digest
    assert (account.priority, account.rate_per_s, account.burst) == (1, 9.0, 4.5)
    assert document.accounts["plain"] == Account()
    assert document.routes[0].public
    assert b"secret" not in msgspec.json.encode(document)
    assert not read_configuration(encode(ROUTE)).document.accounts


@pytest.mark.parametrize(
    "other",
    [
        {"name": "b", "apiKeys": ["secret-2"]},
        {"name": "ralo620", "apiKeys": ["secret-3"]},
        {"name": "b", "apiKeys": ["secret-4", ""]},
        {"name": "b", "apiKeys": ["secret-4", 5]},
        {"name": "b\r\nx: secret", "apiKeys": ["secret-4"]},
        {"name": "b", "apiKeys": "secret-4"},
        {"name": "b", "apiKeys": ["secret-4"], "ratePerS": -1},
        {"apiKeys": ["secret-4"]},
    ],
)
def test_invalid_accounts_are_refused_without_naming_a_key(other):
    """Two accounts with one key could not be told apart."""
    with pytest.raises(DocumentError) as caught:
        read_configuration(encode(ROUTE, tenants=[TENANT, other]))
    assert "secret-" not in caught.value.message


def test_fields_of_later_platforms_are_ignored():
    body = encode(ROUTE | {"unknownField": "x"}, unknownField={"x": 1})
    assert read_configuration(body).version == 7
