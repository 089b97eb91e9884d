"""Guard against edits that are lost, misplaced, unescaped or applied unreviewed."""

import pytest
from console_browser import Browser
from test_configuration import VALID

import examples
from wisteriaworks.configuration import parse_document
from wisteriaworks.console_edits import put_part
from wisteriaworks.generated.document import Limits

HOSTILE_PATHS = (
    "/searches",
    "/callers",
    "/objectives",
    "/domains",
    "/indexes",
    "/searches/new",
    "/callers/edit?name=%3Ci%3E",
    "/indexes/servers?index=%3Ci%3E",
    "/indexes/servers/edit?index=%3Ci%3E&name=s2",
    "/domains/drain?name=%3Ci%3E",
    "/domains/drain?name=%3Cimg%3E",
    "/review",
)


@pytest.fixture
async def browser():
    return await Browser(parse_document(VALID)).sign_in()


def _draft(browser):
    return browser.find_draft().document


async def test_a_bad_field_keeps_what_was_typed_and_says_why(browser):
    await browser.get("/callers/edit?name=desk")
    typed = {"timeout_ms": "soon", "priority": "3", "searches": ["order"]}
    assert await browser.submit("/callers/edit", **typed) == 422
    assert 'value="soon"' in browser.page and 'value="3"' in browser.page
    assert 'id="timeout_ms-error"' in browser.page
    assert 'id="priority-error"' not in browser.page
    assert 'value="order" checked' in browser.page
    assert 'value="stall" checked' not in browser.page
    assert _draft(browser) == parse_document(VALID)


async def test_parts_are_made_changed_and_removed_in_the_draft_only(browser):
    await browser.get("/searches/new")
    fields = {"indexes": "a", "routing": "scatter", "minimum_coverage": "0.5"}
    await browser.submit("/searches/new", name="more", **fields)
    assert browser.location == "/searches"
    assert _draft(browser).searches["more"].minimum_coverage == 0.5
    await browser.get("/searches/edit?name=more")
    await browser.submit("/searches/edit", **fields | {"minimum_coverage": "1"})
    assert _draft(browser).searches["more"].minimum_coverage == 1
    await browser.get("/searches")
    await browser.submit("/searches/remove", name="more")
    assert _draft(browser) == parse_document(VALID)
    assert browser.control.version == 1


@pytest.mark.parametrize("group", ["searches", "callers", "objectives", "indexes"])
@pytest.mark.parametrize("name", ["", "a b", "known"])
async def test_a_new_part_needs_a_free_name(browser, group, name):
    known = next(iter(getattr(browser.control.document, group)))
    await browser.get(f"/{group}/new")
    name = known if name == "known" else name
    assert await browser.submit(f"/{group}/new", name=name) == 422
    assert 'id="name-error"' in browser.page


async def test_a_form_made_from_an_older_version_is_not_saved(browser):
    await browser.get("/limits")
    form = browser.hidden("/limits")
    browser.control.document = parse_document(VALID + "limits: {max_running: 7}")
    browser.control.version = 2
    await browser.get("/callers")
    assert await browser.send("POST", "/limits", form) == 409
    assert _draft(browser).limits == Limits(max_running=7)


@pytest.mark.parametrize("path", HOSTILE_PATHS)
async def test_names_are_escaped(path):
    document = parse_document(VALID)
    for group in ("searches", "callers", "objectives", "domains", "indexes"):
        part = next(iter(getattr(document, group).values()))
        document = put_part(document, group, "<i>", part)
        document = put_part(document, group, "<i>b", part)
    browser = await Browser(document).sign_in()
    await browser.get("/searches")
    await browser.submit("/searches/remove", name="<i>b")
    await browser.get(path)
    assert "<img" not in browser.page and "<i>" not in browser.page
    assert "&lt;i" in browser.page


@pytest.mark.parametrize("site", examples.SITES, ids=lambda site: site.name)
async def test_every_page_of_an_installation_is_shown(site):
    document = examples.create_document(site)
    browser = await Browser(document).sign_in()
    pages = ["/limits", "/review", "/status", "/status/servers"]
    for group in ("searches", "callers", "objectives"):
        names = getattr(document, group)
        pages += [f"/{group}/edit?name={name}" for name in names]
    pages += [f"/indexes/servers?index={name}" for name in document.indexes]
    for page in pages:
        assert await browser.get(page) == 200
