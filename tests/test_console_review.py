"""Guard against changes applied unreviewed, twice or over another operator's."""

import pytest
from console_browser import Browser
from test_configuration import VALID

from wisteriaworks import console_control
from wisteriaworks.configuration import parse_document
from wisteriaworks.console_fields import LIMITS
from wisteriaworks.console_forms import render_part
from wisteriaworks.generated.document import Limits

APPLY = "/review/apply"
THEIRS = parse_document(VALID.replace("d2: {}", "d2: {state: out}"))
OVERLAPPING = parse_document(VALID + "limits: {max_running: 9, hedge_ratio: 0.5}")


async def _edit_limits(browser, **values):
    await browser.get("/limits")
    fields = render_part(LIMITS, Limits(**values))
    await browser.submit("/limits", **fields)
    await browser.get("/review")


@pytest.fixture
async def browser(monkeypatch):
    monkeypatch.setattr(console_control, "RESEND_DELAY_S", 0)
    browser = await Browser(parse_document(VALID)).sign_in()
    await _edit_limits(browser, max_running=7)
    return browser


async def test_the_review_lists_old_and_new_and_applies(browser):
    cells = ("limits.max_running", "200", "7")
    row = "".join(f"<td><code>{cell}</code></td>" for cell in cells)
    assert row in browser.page
    await browser.submit(APPLY)
    assert browser.location == "/rollout?version=2"
    assert browser.control.document.limits == Limits(max_running=7)
    await browser.get("/review")
    assert "no changes" in browser.page


async def test_the_review_lists_every_problem(browser):
    await browser.get("/indexes")
    await browser.submit("/indexes/remove", name="a")
    await browser.get("/review")
    assert browser.page.count("the name of one of the indexes") == 2
    assert "searches.order.indexes[0]" in browser.page
    assert f'action="{APPLY}"' not in browser.page


async def test_a_resent_form_is_not_applied_twice(browser):
    form = browser.hidden(APPLY)
    await browser.send("POST", APPLY, form)
    browser.control.document, browser.control.version = THEIRS, 3
    assert await browser.send("POST", APPLY, form) == 303
    assert browser.location == "/rollout?version=2"
    assert (browser.control.document, browser.control.version) == (THEIRS, 3)


async def test_a_change_whose_reply_was_lost_is_applied_once(browser):
    browser.control.lose_replies = console_control.SEND_ATTEMPTS
    assert await browser.submit(APPLY) == 503
    assert "may have been accepted" in browser.page
    await browser.submit(APPLY)
    assert browser.location == "/rollout?version=2"
    assert (browser.control.version, len(browser.control.results)) == (2, 1)


async def test_a_resent_change_is_the_first_one_even_if_the_draft_changed(browser):
    form = browser.hidden(APPLY)
    browser.control.lose_replies = console_control.SEND_ATTEMPTS
    await browser.send("POST", APPLY, form)
    await _edit_limits(browser, max_running=8)
    assert await browser.send("POST", APPLY, form) == 303
    assert browser.control.document.limits == Limits(max_running=7)
    assert browser.find_draft().document.limits == Limits(max_running=8)


async def test_a_draft_that_changed_after_its_review_is_not_applied(browser):
    form = browser.hidden(APPLY)
    await _edit_limits(browser, max_running=8)
    assert await browser.send("POST", APPLY, form) == 409
    assert browser.control.version == 1


async def test_a_draft_with_errors_is_not_proposed(browser):
    form = browser.hidden(APPLY)
    await browser.get("/indexes")
    await browser.submit("/indexes/remove", name="a")
    digest = browser.find_draft().compute_digest()
    assert await browser.send("POST", APPLY, form | {"digest": digest}) == 422
    assert browser.control.results == {}


async def test_a_conflict_shows_both_sides_and_can_be_rebased(browser):
    browser.control.competing = [THEIRS]
    assert await browser.submit(APPLY) == 409
    mine, theirs = browser.page.split("What the others changed")
    assert "limits.max_running" in mine and "domains.d2" not in mine
    assert "domains.d2.state" in theirs and "limits.max_running" not in theirs
    assert browser.control.document == THEIRS
    await browser.submit("/review/rebase")
    await browser.get("/review")
    await browser.submit(APPLY)
    assert browser.control.document.domains == THEIRS.domains
    assert browser.control.document.limits == Limits(max_running=7)


async def test_a_rebase_keeps_the_values_in_force_at_overlaps(browser):
    await _edit_limits(browser, max_running=7, retry_ratio=0.2)
    browser.control.document, browser.control.version = OVERLAPPING, 2
    await browser.get("/review")
    assert "Changed on both sides" in browser.page
    await browser.submit("/review/rebase")
    await browser.get("/review")
    assert "limits.max_running" not in browser.page
    await browser.submit(APPLY)
    expected = Limits(max_running=9, hedge_ratio=0.5, retry_ratio=0.2)
    assert browser.control.document.limits == expected


async def test_a_rebase_onto_a_version_that_was_not_shown_is_refused(browser):
    browser.control.document, browser.control.version = THEIRS, 2
    await browser.get("/review")
    browser.control.document, browser.control.version = OVERLAPPING, 3
    assert await browser.submit("/review/rebase") == 409
    assert "Conflict with version 3" in browser.page


async def test_the_first_configuration_is_a_change_to_version_0():
    browser = await Browser(None, 0).sign_in()
    await _edit_limits(browser, max_running=7)
    await browser.submit(APPLY)
    assert browser.control.document.limits == Limits(max_running=7)


async def test_a_discarded_draft_has_no_changes(browser):
    await browser.submit("/review/discard")
    await browser.get("/review")
    assert "no changes" in browser.page
