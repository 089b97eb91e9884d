"""Guard against a misleading status and a rollout page that reloads for ever."""

import pytest
from console_browser import Browser
from test_configuration import VALID

from wisteriaworks import console_status
from wisteriaworks.configuration import parse_document
from wisteriaworks.console_http import PageError
from wisteriaworks.errors import ControlError


@pytest.fixture
async def browser():
    return await Browser(parse_document(VALID), 4).sign_in()


async def test_the_status_names_leader_members_entries_and_servers(browser):
    await browser.get("/status")
    for text in ("c1/aa", "leader", "learner", "e2", "127.0.0.1:3", "leaving"):
        assert text in browser.page
    await browser.get("/status/servers?state=leaving")
    assert ">s1<" in browser.page and ">s2<" not in browser.page
    assert "e1" in browser.page


async def test_the_roll_out_reloads_until_all_entries_have_the_version(browser):
    browser.control.adopted["e2"] = 3
    await browser.get("/rollout?version=4")
    assert "In force in 1 of 2 entries" in browser.page
    assert 'http-equiv="refresh"' in browser.page
    browser.control.adopted["e2"] = "latest"
    await browser.get("/rollout?version=4")
    assert "In force in all 2 entries" in browser.page
    assert "refresh" not in browser.page


async def test_the_reloading_page_does_not_keep_the_session_alive(browser):
    browser.now = 3599.0
    await browser.get("/rollout?version=4")
    browser.now = 3600.0
    assert await browser.get("/status") == 303


async def test_unreachable_control_is_an_error_page(browser, monkeypatch):
    async def fail(message, timeout_s):
        raise ControlError("no leader <b>")

    monkeypatch.setattr(browser.control, "call", fail)
    assert await browser.get("/status") == 503
    assert "no leader &lt;b&gt;" in browser.page


@pytest.mark.parametrize(
    ("rows", "number", "expected"),
    [
        (0, "", (1, 1, 0)),
        (401, "", (1, 3, 200)),
        (401, "3", (3, 3, 1)),
        (401, "9", (3, 3, 1)),
        (401, "0", (1, 3, 200)),
    ],
)
def test_long_lists_are_cut_into_pages(rows, number, expected):
    page = console_status.paginate(list(range(rows)), number)
    assert (page.number, page.count, len(page.rows)) == expected


@pytest.mark.parametrize("number", ["x", "-1", "²", "9" * 9999])
def test_an_invalid_page_number_is_refused(number):
    with pytest.raises(PageError):
        console_status.paginate([], number)
