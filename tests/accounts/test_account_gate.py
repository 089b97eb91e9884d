"""Guard against requests that run without a valid key or a lease."""

import types

import pytest
from gateway_fakes import make_accounts, make_document, make_route

from wisteriaworks.accounts.gate import AccountGate
from wisteriaworks.accounts.lease import KeyLease
from wisteriaworks.errors import ErrorKind
from wisteriaworks.gateway.model import CallerRequest, Failure
from wisteriaworks.gateway.route_index import RouteIndex
from wisteriaworks.generated.messages import GatherParts
from wisteriaworks.generated.settings import AccountSettings
from wisteriaworks.metrics import create_unexported_metrics
from wisteriaworks.platform import wire

KEY_HEADER = b"X-Wisteriaworks-Credential"


class Gateway:
    """Hold a gate, its clock and its configuration."""

    def __init__(self, keys, fail_closed=True):
        self.now = 100.0
        self.lease = KeyLease(5.0)
        self.metrics = create_unexported_metrics()
        self._state = types.SimpleNamespace()
        self.configure(keys, version=1)
        cfg = AccountSettings(fail_closed=fail_closed, revoke_ms=5000)
        self.gate = AccountGate(
            cfg, self._state, self.lease, wire.read_key, self.metrics, lambda: self.now
        )

    def configure(self, keys, version):
        document = make_document()
        document.accounts.update(keys)
        self._state.routes = RouteIndex(document, version)

    def identify(self, *keys, **route):
        request = CallerRequest(b"GET", b"/p/x", "h", (), b"", b"id1", 1.0)
        headers = [(KEY_HEADER, key) for key in keys]
        return self.gate.identify(request, make_route(**route), headers)


@pytest.fixture
def gateway():
    gateway = Gateway(make_accounts(a=["k1"], b=["k2"]))
    gateway.lease.confirm(1, 100.0, 1)
    return gateway


@pytest.mark.parametrize("keys", [(), (b"",), (b"k",), (b"k1", b"k2"), (b"k1 ",)])
def test_request_without_a_known_key_is_refused(gateway, keys):
    assert gateway.identify(*keys) is ErrorKind.UNAUTHENTICATED


def test_public_route_needs_neither_key_nor_lease(gateway):
    gateway.now += 60.0
    for keys in ((), (b"k1",), (b"unknown",)):
        assert gateway.identify(*keys, public=True).account == ""


def test_configuration_without_accounts_needs_no_key():
    gateway = Gateway({})
    request = gateway.identify(b"k1")
    assert (request.account, request.key_id) == ("", b"")
    assert not gateway.gate.needs_lease


@pytest.mark.parametrize(
    ("fail_closed", "expected"),
    [(True, Failure.NOT_CONFIRMED), (False, None)],
    ids=["fail-closed", "fail-open"],
)
def test_lease_is_checked_at_each_send(fail_closed, expected):
    """A suspended gateway resumes with an admitted request and an ended lease."""
    gateway = Gateway(make_accounts(a=["k1"]), fail_closed)
    gateway.lease.confirm(1, 100.0, 1)
    request = gateway.identify(b"k1")
    assert gateway.gate.find_obstacle(request) is None
    gateway.now += 5.0
    assert gateway.gate.find_obstacle(request) is expected
    refused = gateway.identify(b"k1")
    assert (refused is ErrorKind.ENTRY_FENCED) is (expected is not None)


def test_key_that_is_removed_while_a_request_waits(gateway):
    request = gateway.identify(b"k1")
    gateway.configure(make_accounts(b=["k2"]), version=2)
    assert gateway.gate.find_obstacle(request) is Failure.KEY_REMOVED
    assert gateway.gate.find_obstacle(gateway.identify(b"k2")) is None


@pytest.mark.parametrize(
    ("account", "public", "age_s", "accepted"),
    [
        ("a", False, 0.0, True),
        ("b", False, 0.0, False),
        ("", False, 0.0, False),
        ("", True, 60.0, True),
        ("a", False, 5.0, False),
    ],
)
def test_delegate_checks_the_key_and_its_own_lease(
    gateway, account, public, age_s, accepted
):
    key_id = gateway.identify(b"k1").key_id if account else b""
    gateway.now += age_s
    message = GatherParts(
        *(b"GET", b"/", "h", (), b"", b"id", 1, (0,), 1, 1.0, 1.0, 0),
        account=account,
        key_id=key_id,
    )
    assert gateway.gate.accepts(message, make_route(public=public)) is accepted


def test_no_key_is_in_the_metrics(gateway):
    gateway.identify(b"k1")
    gateway.identify(b"secret-unknown")
    text = gateway.metrics.render().decode()
    assert 'account="a",result="accepted"' in text
    assert "k1" not in text
    assert "secret" not in text
