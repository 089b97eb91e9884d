"""Guard against generated code that was edited by hand or is out of date."""

import hashlib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
SCHEMAS = sorted((ROOT / "schema").glob("*.yaml"))


@pytest.mark.parametrize("path", SCHEMAS, ids=lambda path: path.stem)
def test_recorded_hash_matches_schema_and_code(path):
    target = ROOT / "src/wisteriaworks/generated" / f"{path.stem}.py"
    header, body = target.read_text().split("\n", 1)
    expected = hashlib.sha256(f"{path.read_text()}\0{body}".encode()).hexdigest()
    assert header.endswith(f"schema/{path.name}; sha256 {expected}")
