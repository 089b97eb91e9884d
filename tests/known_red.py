"""The tests that KNOWN-RED.txt lists."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
# An entry for a test begins with its node id at the start of a line.
_NODE_ID = re.compile(r"^(tests/\S+::\S+);", re.MULTILINE)


def find_node_ids(text):
    """Return the node ids of the tests in the text of KNOWN-RED.txt."""
    return _NODE_ID.findall(text)


def read_node_ids():
    """Return the node ids of the tests in KNOWN-RED.txt."""
    return find_node_ids((ROOT / "KNOWN-RED.txt").read_text())
