"""Guard against access without signing in, forged requests and unsafe pages."""

import pytest
from console_browser import PASSWORD, Browser
from test_configuration import VALID

from wisteriaworks.configuration import parse_document
from wisteriaworks.console_http import MAX_BODY_BYTES


@pytest.fixture
def browser():
    return Browser(parse_document(VALID))


@pytest.mark.parametrize("path", ["/", "/status", "/domains", "/domains/drain?name=d1"])
async def test_nothing_is_shown_without_signing_in(browser, path):
    assert await browser.get(path) == 303
    assert browser.location in ("/sign-in", "/status")


@pytest.mark.parametrize(
    ("name", "password"), [("mira", ""), ("mira", "x"), ("", ""), ("<b>", PASSWORD)]
)
async def test_a_wrong_name_or_password_is_refused(browser, name, password):
    await browser.get("/sign-in")
    assert await browser.submit("/sign-in", name=name, password=password) == 401
    assert "<b>" not in browser.page
    assert await browser.get("/status") == 303


async def test_signing_in_replaces_the_cookie_and_signing_out_ends_it(browser):
    await browser.get("/sign-in")
    before = browser.cookie
    await browser.sign_in()
    assert browser.location == "/status" and browser.cookie != before
    header = browser.headers[b"set-cookie"]
    assert b"HttpOnly" in header and b"SameSite=Strict" in header
    used = browser.cookie
    assert await browser.get("/status") == 200
    await browser.submit("/sign-out")
    browser.cookie = used
    assert await browser.get("/status") == 303


async def test_a_session_expires(browser):
    await browser.sign_in()
    browser.now += 3600
    assert await browser.get("/status") == 303


@pytest.mark.parametrize(
    ("fields", "headers", "status"),
    [
        ({}, (), 303),
        ({}, ((b"origin", b"http://console:80"),), 303),
        ({}, ((b"origin", b"http://evil:80"),), 403),
        ({}, ((b"origin", b"null"),), 403),
        ({"token": "0" * 64}, (), 403),
        ({"token": "å"}, (), 403),
        ({"name": "x" * MAX_BODY_BYTES}, (), 413),
        ({"operation_id": "7"}, (), 400),
    ],
)
async def test_only_own_forms_are_accepted(browser, fields, headers, status):
    await browser.sign_in()
    await browser.get("/domains/drain?name=d1")
    assert await browser.submit("/domains/drain", headers, **fields) == status
    assert browser.control.version == (2 if status == 303 else 1)


async def test_a_token_of_another_session_is_refused(browser):
    await browser.sign_in()
    await browser.get("/domains/drain?name=d1")
    form = browser.hidden("/domains/drain")
    browser.cookie = ""
    await browser.sign_in()
    assert await browser.send("POST", "/domains/drain", form) == 403


@pytest.mark.parametrize("path", ["/style.css", "/sign-in", "/status", "/none"])
async def test_every_answer_has_the_security_headers(browser, path):
    await browser.sign_in()
    await browser.get(path)
    policy = browser.headers[b"content-security-policy"]
    assert b"default-src 'none'" in policy and b"script" not in policy
    assert browser.headers[b"cache-control"] == b"no-store"
    assert browser.headers[b"x-frame-options"] == b"DENY"
    assert b"referrer-policy" in browser.headers
