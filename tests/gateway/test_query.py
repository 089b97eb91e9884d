"""Guard against wrong coverage, late refusals and wrong "not run" statements."""

import pytest
from gateway_fakes import make_answer, make_entry, make_fleet, make_route

from wisteriaworks.gateway.fetch import Fetch, FetchPolicy
from wisteriaworks.gateway.model import (
    Answered,
    AnswerTimes,
    Failed,
    Failure,
    Refused,
)
from wisteriaworks.gateway.query import (
    GatheredAnswer,
    Query,
    SingleAnswer,
    Unserved,
    UnservedReason,
)

SHARDS = tuple(f"s{n}" for n in range(10))
OK = Answered(make_answer())
ERROR = Answered(make_answer(status=500))
REFUSED = Refused(make_answer(status=503, not_run=True))
BROKEN = Failed(Failure.BROKEN, may_have_run=True)
ARRIVED, DEADLINE = 1.0, 2.0


def make_query(minimum=0.75, entries=None, shards=SHARDS, **fields):
    """Return a query; each service has one server, named after it."""
    if shards:
        fields |= {"shards": shards, "minimum_coverage": minimum}
    route = make_route(objective_ms=200, **fields)
    services = shards or ("s",)
    names = services if entries is None else entries
    fleet = make_fleet([make_entry(f"i-{name}", service=name) for name in names])
    fetches = {
        name: Fetch(FetchPolicy(name, route.idempotent, 2, 0.0, 0.05), fleet)
        for name in services
    }
    return Query(route, fetches, AnswerTimes.create(ARRIVED + 0.2, DEADLINE, 0.015))


def record_outcomes(query, services, outcome, now=1.1):
    for service in services:
        query.fetches[service].handle_outcome(f"i-{service}", outcome, now)


def exhaust(query, services, outcome, now=1.1):
    """End all sends to services with an outcome, until there are no retries."""
    for service in services:
        fetch = query.fetches[service]
        while not fetch.is_over:
            if fetch.is_running:
                fetch.handle_outcome(f"i-{service}", outcome, now)
            else:
                fetch.handle_timer(fetch.wake_at)


@pytest.mark.parametrize("shards", [SHARDS, ()])
@pytest.mark.parametrize(
    ("failure", "reason"),
    [
        (Failure.KEY_REMOVED, UnservedReason.KEY_REMOVED),
        (Failure.NOT_CONFIRMED, UnservedReason.NOT_CONFIRMED),
    ],
)
def test_request_that_its_key_stopped_has_not_run(shards, failure, reason):
    query = make_query(shards=shards)
    query.begin(ARRIVED)
    exhaust(query, shards[:1], REFUSED)
    record_outcomes(query, shards[1:] or ("s",), Failed(failure, may_have_run=False))
    result = query.get_result(1.1)
    assert (result.reason, result.may_have_run) == (reason, False)


def test_request_that_ran_in_part_before_its_key_was_removed_may_have_run():
    query = make_query()
    query.begin(ARRIVED)
    exhaust(query, SHARDS[:1], BROKEN)
    record_outcomes(query, SHARDS[1:], Failed(Failure.KEY_REMOVED, may_have_run=False))
    result = query.get_result(1.1)
    assert (result.reason, result.may_have_run) == (UnservedReason.COVERAGE, True)


def test_all_parts_are_a_complete_answer():
    query = make_query()
    query.begin(ARRIVED)
    record_outcomes(query, SHARDS[:9], OK)
    assert query.get_result(1.1) is None
    record_outcomes(query, SHARDS[9:], OK)
    result = query.get_result(1.1)
    assert isinstance(result, GatheredAnswer)
    assert (len(result.parts), result.missing) == (10, 0)


def test_enough_parts_are_an_answer_at_the_objective():
    """Otherwise one stalled shard delays the answer beyond the objective."""
    query = make_query()
    query.begin(ARRIVED)
    record_outcomes(query, SHARDS[:8], OK)
    assert query.get_result(1.17) is None
    result = query.get_result(1.2)
    assert (len(result.parts), result.missing) == (8, 2)


def test_too_few_parts_wait_past_the_objective():
    query = make_query()
    query.begin(ARRIVED)
    record_outcomes(query, SHARDS[:7], OK)
    assert query.get_result(1.3) is None
    record_outcomes(query, SHARDS[7:8], OK, 1.4)
    assert query.get_result(1.4).missing == 2


def test_failure_with_a_signature_is_not_a_part():
    query = make_query()
    query.begin(ARRIVED)
    record_outcomes(query, SHARDS[:9], OK)
    exhaust(query, SHARDS[9:], ERROR)
    assert query.get_result(1.1).missing == 1


def test_shards_without_a_server_are_left_out_and_counted():
    query = make_query(entries=SHARDS[:8])
    assert len(query.begin(ARRIVED)) == 8
    record_outcomes(query, SHARDS[:8], OK)
    assert query.get_result(1.1).missing == 2


def test_query_below_the_minimum_coverage_is_not_sent():
    query = make_query(entries=SHARDS[:7])
    assert query.begin(ARRIVED) == []


def test_request_ends_at_once_when_enough_parts_cannot_come():
    query = make_query()
    query.begin(ARRIVED)
    exhaust(query, SHARDS[:3], BROKEN)
    result = query.get_result(1.1)
    assert isinstance(result, Unserved)
    assert result.may_have_run


def test_refusals_beside_running_sends_may_have_run():
    """Status 503 states that nothing ran, but other sends are still in progress."""
    query = make_query()
    query.begin(ARRIVED)
    exhaust(query, SHARDS[:3], REFUSED)
    assert query.get_result(1.1).may_have_run


def test_request_that_all_servers_refused_did_not_run():
    query = make_query(shards=())
    query.begin(ARRIVED)
    exhaust(query, ["s"], REFUSED)
    assert query.get_result(1.1) == Unserved(UnservedReason.REFUSED, may_have_run=False)


def test_single_answer_is_passed_on():
    query = make_query(shards=())
    query.begin(ARRIVED)
    record_outcomes(query, ["s"], OK)
    assert query.get_result(1.1) == SingleAnswer(make_answer())


@pytest.mark.parametrize("shards", [(), SHARDS])
def test_deadline_ends_the_wait(shards):
    query = make_query(shards=shards)
    query.begin(ARRIVED)
    assert query.get_result(1.9) is None
    assert query.compute_wake_at() <= DEADLINE
    result = query.get_result(DEADLINE)
    assert result == Unserved(UnservedReason.DEADLINE, may_have_run=True)
