"""Pass over the tests that KNOWN-RED.txt lists, for CI."""

import pytest
from known_red import read_node_ids

_DESELECTED = pytest.StashKey[list]()


def pytest_addoption(parser):
    parser.addoption(
        "--pass-over-known-red",
        action="store_true",
        help="deselect the tests that KNOWN-RED.txt lists, and print them",
    )


def pytest_collection_modifyitems(config, items):
    if not config.getoption("--pass-over-known-red"):
        return
    known = set(read_node_ids())
    deselected = [item for item in items if item.nodeid in known]
    if unknown := known - {item.nodeid for item in deselected}:
        raise pytest.UsageError(f"KNOWN-RED.txt: no such tests: {sorted(unknown)}")
    items[:] = [item for item in items if item.nodeid not in known]
    config.stash[_DESELECTED] = [item.nodeid for item in deselected]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter, config):
    for node_id in config.stash.get(_DESELECTED, []):
        terminalreporter.write_line(f"known red, not run: {node_id}")
