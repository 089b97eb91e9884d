"""Guard against explanations that use memory without bound."""

import msgspec
import pytest

from wisteriaworks.explain_store import ExplainStore
from wisteriaworks.generated.reports import Explanation


def explain(request_id, outcome="complete"):
    return Explanation(
        request_id=request_id,
        entry="e1",
        search="stall",
        caller="desk",
        config_version=1,
        snapshot=7,
        outcome=outcome,
        total_ms=12.5,
    )


_SIZE = len(msgspec.json.encode(explain("0")))


@pytest.mark.parametrize("bounds", [(3, 10**6), (100, 3 * _SIZE)])
def test_newest_explanations_are_kept_within_each_bound(bounds):
    store = ExplainStore(*bounds)
    for number in range(10):
        store.put(explain(str(number)))
    kept = [number for number in range(10) if store.get(str(number))]
    assert kept == [7, 8, 9]


def test_later_explanation_replaces_and_is_the_newest():
    store = ExplainStore(max_count=2)
    for request_id, outcome in [("a", "x"), ("b", "x"), ("a", "partial"), ("c", "x")]:
        store.put(explain(request_id, outcome))
    kept = msgspec.json.decode(store.get("a"), type=Explanation)
    assert kept == explain("a", "partial")
    assert store.get("b") is None


def test_an_oversized_explanation_does_not_evict_others():
    store = ExplainStore(max_bytes=2 * _SIZE)
    store.put(explain("a"))
    store.put(explain("b", "x" * 3 * _SIZE))
    assert store.get("a") and store.get("b") is None
