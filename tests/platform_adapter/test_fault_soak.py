"""Check the guarantees to callers and operators under overlapping faults.

A seed that has failed once stays in the list, with a comment on the cause.
"""

import pytest
from fault_soak import run_seed


@pytest.mark.parametrize("seed", [1])
async def test_guarantees_hold_under_faults(seed, tmp_path):
    findings = await run_seed(seed, tmp_path)
    assert findings.broken == []
    assert findings.statuses[200] > 0
