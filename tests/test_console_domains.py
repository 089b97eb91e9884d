"""Guard against domain changes applied unconfirmed, twice or over another change."""

import pytest
from console_browser import Browser
from test_configuration import VALID

from wisteriaworks import console_control
from wisteriaworks.configuration import parse_document
from wisteriaworks.errors import ControlError
from wisteriaworks.generated.document import DomainState, Limits

DRAIN = "/domains/drain"


@pytest.fixture
async def browser(monkeypatch):
    monkeypatch.setattr(console_control, "RESEND_DELAY_S", 0)
    browser = await Browser(parse_document(VALID)).sign_in()
    await browser.get(f"{DRAIN}?name=d1")
    return browser


def _read_state(browser):
    return browser.control.document.domains["d1"].state


async def test_a_domain_changes_state_only_after_confirmation(browser):
    assert browser.control.version == 1 and "1 servers of d1" in browser.page
    await browser.submit(DRAIN)
    assert browser.location == "/rollout?version=2"
    assert _read_state(browser) is DomainState.OUT
    await browser.get("/domains/return?name=d1")
    await browser.submit("/domains/return")
    assert _read_state(browser) is DomainState.IN_SERVICE


async def test_a_resent_form_does_not_undo_a_later_return(browser):
    form = browser.hidden(DRAIN)
    await browser.submit(DRAIN)
    browser.control.document = parse_document(VALID + "limits: {max_running: 7}")
    browser.control.version = 3
    assert await browser.send("POST", DRAIN, form) == 303
    assert browser.location == "/rollout?version=2"
    assert browser.control.version == 3


async def test_a_change_whose_reply_was_lost_is_applied_once(browser):
    browser.control.lose_replies = console_control.SEND_ATTEMPTS
    assert await browser.submit(DRAIN) == 503
    assert "may have been accepted" in browser.page
    browser.control.document = parse_document(VALID + "limits: {max_running: 7}")
    browser.control.version += 5
    await browser.submit(DRAIN)
    assert browser.location == "/rollout?version=2"
    assert len(browser.control.results) == 1


async def test_a_lost_read_does_not_claim_that_a_change_was_sent(browser, monkeypatch):
    async def fail(message, timeout_s):
        raise ControlError("no leader", sent=True)

    monkeypatch.setattr(browser.control, "call", fail)
    assert await browser.submit(DRAIN) == 503
    assert "was not sent" in browser.page


async def test_a_conflict_requires_a_new_confirmation(browser):
    other = parse_document(VALID + "limits: {max_running: 7}")
    browser.control.competing = [other]
    assert await browser.submit(DRAIN) == 409
    assert "Another operator changed" in browser.page
    assert browser.control.document.limits == Limits(max_running=7)
    await browser.submit(DRAIN)
    assert _read_state(browser) is DomainState.OUT
    assert browser.control.document.limits == Limits(max_running=7)


async def test_the_last_domain_of_a_replica_set_is_a_warning(browser):
    await browser.submit(DRAIN)
    await browser.get(f"{DRAIN}?name=d2")
    assert "replica set r1" in browser.page


async def test_unknown_domains_are_not_found(browser):
    assert await browser.get(f"{DRAIN}?name=%3Cb%3E") == 404
    assert "<b>" not in browser.page
    assert browser.control.results == {}
