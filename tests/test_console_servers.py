"""Guard against servers that are lost or put into the wrong index."""

import pytest
from console_browser import Browser
from test_configuration import VALID

from wisteriaworks.configuration import parse_document

NEW = "/indexes/servers/new"
FIELDS = {
    "address": "127.0.0.1:3",
    "domain": "d1",
    "replica_set": "r1",
    "slots": "2",
    "connections": "25",
}


@pytest.fixture
async def browser():
    browser = await Browser(parse_document(VALID)).sign_in()
    await browser.get(f"{NEW}?index=a&replica_set=r1")
    return browser


async def _list_servers(browser):
    await browser.get("/indexes/servers?index=a")
    return [name for name in ("s1", "s2", "s3") if f">{name}</a>" in browser.page]


async def test_a_server_is_added_changed_and_removed(browser):
    assert 'value="r1"' in browser.page
    await browser.submit(NEW, name="s3", **FIELDS)
    assert await _list_servers(browser) == ["s1", "s2", "s3"]
    await browser.get("/indexes/servers/edit?index=a&name=s3")
    await browser.submit("/indexes/servers/edit", **FIELDS | {"slots": "4"})
    await browser.get("/review")
    assert "indexes.a.servers.s3" in browser.page and "&#34;slots&#34;: 4" in (
        browser.page
    )
    await browser.get("/indexes/servers?index=a")
    await browser.submit("/indexes/servers/remove", name="s3")
    assert await _list_servers(browser) == ["s1", "s2"]


@pytest.mark.parametrize(
    ("name", "fields", "field"),
    [
        ("s1", {}, "name"),
        ("s3", {"address": "here"}, "address"),
        ("s3", {"domain": ""}, "domain"),
        ("s3", {"slots": "65"}, "slots"),
    ],
)
async def test_a_bad_server_is_an_error_of_its_field(browser, name, fields, field):
    assert await browser.submit(NEW, name=name, **FIELDS | fields) == 422
    assert f'id="{field}-error"' in browser.page
    assert await _list_servers(browser) == ["s1", "s2"]


async def test_an_index_without_servers_cannot_be_applied(browser):
    for name in ("s1", "s2"):
        await browser.get("/indexes/servers?index=a")
        await browser.submit("/indexes/servers/remove", name=name)
    await browser.get("/review")
    assert "indexes.a.servers" in browser.page
    assert 'action="/review/apply"' not in browser.page


@pytest.mark.parametrize("query", ["index=x", "index=a&name=s9"])
async def test_unknown_servers_are_not_found(browser, query):
    assert await browser.get(f"/indexes/servers/edit?{query}") == 404
