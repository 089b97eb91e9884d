"""Guard against a settings page that differs from the schema."""

import settings_page


def test_committed_page_equals_the_generated_page():
    assert settings_page.PAGE.read_text() == settings_page.render_page()


def test_page_names_every_field_default_and_limit():
    page = settings_page.render_page()
    assert "| `fence_after_s` | number | `3.0` | more than 0.0 |" in page
    assert "| `state` | `DomainState` | `in_service` | one of `in_service`" in page
    assert "| `servers` | list of `Server` | required | length at least 1 |" in page
    assert r"matches `^(DEBUG\|INFO\|WARNING\|ERROR)$`" in page
