"""Guard against settings templates that name fields the platform does not have.

The platform leaves an unknown field empty: with a template that named the third
port of a range of two, all gateways exited at their start.
"""

import json
import re
from pathlib import Path

import pytest

from wisteriaworks.document_checks import is_valid_address
from wisteriaworks.generated.settings import ControlSettings, GatewaySettings
from wisteriaworks.settings import decode_yaml

DEPLOY = Path(__file__).resolve().parents[2] / "deploy"
# The settings of a process as the platform documents them, as far as they are used.
FIELDS = {
    "nodeName": "front-a-1",
    "ip": "10.1.0.6",
    "zone": "a",
    "listenAddresses": {
        "front": "10.1.0.6:8104",
        "readiness": "10.1.0.6:8108",
        "control": "10.1.0.6:8106",
    },
    "internalPortRange": [7380, 7395],
    "seeds": ["10.1.0.6:8106", "10.2.0.27:8106"],
    "bootstrap": True,
    "limits": {"linkMbps": 1000.0, "memoryMb": 200, "maxOpenFiles": 1535},
    "dataDir": "/data/control",
    "bounds": {
        "retryBudgetRatio": 0.2,
        "budgetWindowS": 10,
        "budgetSlack": 58,
        "coldBurstFactor": 1.5,
        "coldSlack": 5,
    },
    "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
    "cloudApi": {"address": "10.200.0.145:8102"},
}


def fill(text):
    """Return a template with its placeholders replaced."""

    def find(match):
        value = FIELDS
        for word in match[1].split("."):
            value = value[int(word)] if isinstance(value, list) else value[word]
        is_plain = isinstance(value, str) and not match[2]
        return value if is_plain else json.dumps(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", find, text)


@pytest.mark.parametrize(
    ("name", "kind"), [("gateway", GatewaySettings), ("control", ControlSettings)]
)
def test_filled_template_gives_valid_settings(name, kind):
    cfg = decode_yaml(fill((DEPLOY / f"{name}.yaml").read_text()), kind)
    listening = [cfg.admin, getattr(cfg, "peer", None), getattr(cfg, "address", None)]
    assert all(is_valid_address(address) for address in listening if address)


def test_programs_of_one_vm_do_not_share_a_port():
    gateway, control = (
        decode_yaml(fill((DEPLOY / f"{name}.yaml").read_text()), kind)
        for name, kind in (("gateway", GatewaySettings), ("control", ControlSettings))
    )
    ports = [gateway.listen, gateway.readiness, gateway.admin, gateway.peer]
    ports += [control.address, control.admin, control.operators.listen]
    assert len(set(ports)) == len(ports)
