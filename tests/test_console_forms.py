"""Guard against forms that change unedited fields or accept invalid values."""

import msgspec
import pytest

import examples
from wisteriaworks.console_configuration import list_choices
from wisteriaworks.console_fields import CALLER, LIMITS, OBJECTIVE, SEARCH, SERVER
from wisteriaworks.console_forms import (
    check_name,
    list_inputs,
    parse_named,
    parse_part,
    render_defaults,
    render_part,
)
from wisteriaworks.generated.document import Caller, Limits, Search

GROUPS = {"searches": SEARCH, "callers": CALLER, "objectives": OBJECTIVE}
LIMIT_FIELDS = render_part(LIMITS, Limits())
CALLER_PART = Caller(
    credential_sha256="a" * 64, searches=("b", "a"), timeout_ms=1, minimum_coverage=1e-5
)
CHOICES = {"searches": ("a", "b"), "indexes": ("i", "j")}


@pytest.fixture(params=examples.SITES, ids=lambda site: site.name)
def document(request):
    return examples.create_document(request.param)


@pytest.mark.parametrize("group", GROUPS)
def test_every_part_survives_a_round_trip(document, group):
    for part in getattr(document, group).values():
        fields = render_part(GROUPS[group], part)
        assert parse_part(GROUPS[group], fields, list_choices(document)).part == part


def test_limits_and_servers_survive_a_round_trip(document):
    fields = render_part(LIMITS, document.limits)
    assert parse_part(LIMITS, fields, {}).part == document.limits
    choices = list_choices(document)
    for server in (s for i in document.indexes.values() for s in i.servers):
        fields = render_part(SERVER, server)
        assert parse_named(SERVER, fields, choices, server.name, ()).part == server


def test_order_and_small_numbers_survive_a_round_trip():
    fields = render_part(CALLER, CALLER_PART)
    inputs = {i.name: i for i in list_inputs(CALLER, fields, {}, CHOICES)}
    assert inputs["searches"].options == ("b", "a")
    assert parse_part(CALLER, fields, CHOICES).part == CALLER_PART


@pytest.mark.parametrize("spec", [SEARCH, SERVER, CALLER, LIMITS, OBJECTIVE])
def test_every_field_of_the_class_has_a_labelled_input(spec):
    names = {field.name for field in msgspec.structs.fields(spec.struct_type)}
    assert {field.name for field in spec.fields} == names - {"name"}
    assert all(field.label for field in spec.fields)


@pytest.mark.parametrize(
    ("spec", "field", "value"),
    [
        (LIMITS, "hedge_ratio", "1.1"),
        (LIMITS, "hedge_ratio", "nan"),
        (LIMITS, "hedge_ratio", "1e999"),
        (LIMITS, "hedge_ratio", ""),
        (LIMITS, "max_running", "0"),
        (LIMITS, "max_running", "1_0"),
        (LIMITS, "max_running", "٣"),
        (LIMITS, "max_running", "1.5"),
        (LIMITS, "max_running", "9" * 19),
        (LIMITS, "max_running", "9" * 9999),
        (CALLER, "credential_sha256", "A" * 64),
        (CALLER, "searches", "c"),
        (CALLER, "minimum_coverage", "1.5"),
        (SEARCH, "routing", "other"),
        (SEARCH, "indexes", ""),
        (SERVER, "address", "127.0.0.256:1"),
        (SERVER, "replica_set", "<b>"),
        (SERVER, "domain", "d9"),
        (OBJECTIVE, "latency_target", "1"),
    ],
)
def test_a_bad_value_is_an_error_of_its_field(spec, field, value):
    parsed = parse_part(spec, render_defaults(spec) | {field: (value,)}, CHOICES)
    assert parsed.part is None and parsed.errors[field].startswith("Expected ")


def test_defaults_are_those_of_the_class():
    fields = render_defaults(SEARCH) | {"indexes": ("i",)}
    assert parse_part(SEARCH, fields, CHOICES).part == Search(indexes=("i",))
    assert parse_part(LIMITS, render_defaults(LIMITS), {}).part == Limits()


@pytest.mark.parametrize("name", ["", "a b", "a/b", "-a", "x" * 65, "known"])
def test_names_that_the_document_refuses_are_errors(name):
    assert check_name(name, {"known"}).startswith("Expected ")


def test_a_selected_name_that_no_longer_exists_stays_visible():
    fields = {"domain": ("d9",)}
    inputs = list_inputs(SERVER, fields, {}, {"domains": ("d1",)})
    assert next(i for i in inputs if i.name == "domain").options == ("d1", "d9")
