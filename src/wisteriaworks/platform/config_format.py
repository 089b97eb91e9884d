"""Decode the operators' configuration into the document of wisteriaworks."""

import hashlib
from dataclasses import dataclass
from typing import Annotated

import msgspec

from wisteriaworks.configuration import check_document, list_errors, raise_problems
from wisteriaworks.errors import DocumentError
from wisteriaworks.generated.document import (
    Account,
    Document,
    Limits,
    Route,
    Service,
    ServiceShare,
)

_IDEMPOTENT = "idempotent"
# Larger integers cannot be stored in the replicated log.
_Integer = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]


class _Share(msgspec.Struct, rename="camel", frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel", frozen=True):
    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: _Integer
    target_latency_ms: float = 0
    priority: _Integer = 5
    attempts: _Integer = 1
    service: str | None = None
    traffic_split: tuple[_Share, ...] | None = None
    shard_services: tuple[str, ...] | None = None
    top_k: _Integer = 0
    min_shard_ratio: float = 0.0
    public: bool = False


class _Service(msgspec.Struct, rename="camel", frozen=True):
    name: str
    # Limit on the connections of all clients together to one server.
    max_connections: _Integer
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="camel", frozen=True):
    max_header_bytes: _Integer = 65536
    max_body_bytes: _Integer = 65536
    header_timeout_ms: _Integer = 5000
    idle_timeout_ms: _Integer = 15000


class _Tenant(msgspec.Struct, rename="camel", frozen=True):
    name: str
    api_keys: tuple[str, ...] | None = None
    priority: _Integer | None = None
    rate_per_s: float | None = None
    burst_size: float | None = None


class _Configuration(msgspec.Struct, rename="camel", frozen=True):
    version: _Integer
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


@dataclass(frozen=True, slots=True)
class VersionedDocument:
    """Represent a document with the version that the operator gave it."""

    version: int
    document: Document


_DECODER = msgspec.json.Decoder(_Configuration)


def read_configuration(body):
    """Return the configuration in a body. Raises DocumentError."""
    try:
        wire = _DECODER.decode(body)
        document = _make_document(wire)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise DocumentError(f"configuration: {exc}") from exc
    problems = list_errors(check_document(document))
    if problems:
        raise_problems(problems)
    return VersionedDocument(wire.version, document)


def _make_document(wire):
    limits = wire.limits
    return Document(
        routes=tuple(map(_make_route, wire.routes)),
        services={service.name: _make_service(service) for service in wire.services},
        accounts=_make_accounts(wire.tenants or ()),
        limits=Limits(
            max_body_bytes=limits.max_body_bytes,
            max_header_bytes=limits.max_header_bytes,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        ),
    )


def _make_route(route):
    shares = route.traffic_split or ()
    if route.service is not None:
        shares = (_Share(route.service, 1.0),)
    return Route(
        name=route.name,
        host=route.hostname,
        path_prefix=route.path_prefix,
        # Requests of any other type may run at most once.
        idempotent=route.route_type == _IDEMPOTENT,
        timeout_ms=route.timeout_ms,
        objective_ms=int(route.target_latency_ms),
        priority=route.priority,
        attempts=route.attempts,
        services=tuple(
            ServiceShare(service=s.service, weight=s.weight) for s in shares
        ),
        shards=route.shard_services or (),
        top_records=route.top_k,
        minimum_coverage=route.min_shard_ratio,
        public=route.public,
    )


def _make_accounts(tenants):
    """Return the accounts by name. Raises DocumentError."""
    accounts = {tenant.name: _make_account(tenant) for tenant in tenants}
    if len(accounts) < len(tenants):
        raise DocumentError("configuration: two tenants have the same name")
    if any(key == "" for tenant in tenants for key in tenant.api_keys or ()):
        raise DocumentError("configuration: a key of a tenant is empty")
    return accounts


def _make_account(tenant):
    hashes = (hashlib.sha256(k.encode()).hexdigest() for k in tenant.api_keys or ())
    return Account(
        key_sha256=tuple(dict.fromkeys(hashes)),
        priority=tenant.priority,
        rate_per_s=tenant.rate_per_s or 0.0,
        burst=tenant.burst_size or 0.0,
    )


def _make_service(service):
    return Service(
        connections=service.max_connections,
        cold_start_s=service.cold_start_s,
        cold_per_s=service.cold_per_s,
    )
