"""Guard against a CI that passes over other tests than those in KNOWN-RED.txt."""

import subprocess
import sys

from known_red import ROOT, find_node_ids, read_node_ids


def test_only_node_ids_at_the_start_of_a_line_are_entries():
    text = "tests/a.py::test_b[1-x]; run; seen\nsee tests/a.py::test_c; x\ntests/a.py\n"
    assert find_node_ids(text) == ["tests/a.py::test_b[1-x]"]


def test_exactly_the_listed_tests_are_passed_over_and_printed():
    known = read_node_ids()
    collected = [_collect(*options) for options in ((), ("--pass-over-known-red",))]
    all_tests, others = (
        [line for line in lines if line.startswith("tests/")] for lines in collected
    )
    assert sorted(others + known) == sorted(all_tests)
    prefix = "known red, not run: "
    printed = [
        line.removeprefix(prefix) for line in collected[1] if line.startswith(prefix)
    ]
    assert sorted(printed) == sorted(known)


def _collect(*options):
    command = [sys.executable, "-m", "pytest", "--collect-only", *options]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, check=True, text=True)
    return done.stdout.splitlines()
