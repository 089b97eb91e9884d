"""Guard against settings templates that name fields the platform does not have.

The platform leaves an unknown field empty: with a template that named the third
port of a range of two, all gateways exited at their start.
"""

import json
import re
from pathlib import Path

import msgspec
import pytest

from wisteriaworks.document_checks import is_valid_address
from wisteriaworks.generated.settings import (
    AccountSettings,
    BudgetSettings,
    ControlSettings,
    GatewaySettings,
    QuotaSettings,
    RolloutSettings,
)
from wisteriaworks.redirect.process import read_settings
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


# A deployment with accounts, quotas and roll-outs.
BOUNDS = {
    "revokeMs": 5000,
    "failClosed": True,
    "quotaWindowS": 5.0,
    "quotaOverage": 0.1,
    "quotaSlack": 20,
    "exposureShare": 0.1,
    "exposureSlack": 50,
    "rollbackMs": 5000,
}
BUDGET = BudgetSettings(
    retry_ratio=0.2, window_s=10.0, slack=58.0, cold_burst=1.5, cold_slack=5.0
)
WITHOUT_DISK = {name: value for name, value in FIELDS.items() if name != "dataDir"}
WITH_BOUNDS = FIELDS | {"bounds": FIELDS["bounds"] | BOUNDS}


def fill(text, fields=FIELDS):
    """Return a template with its sections and placeholders replaced.

    A section is left out if its field is absent; a dot in it is the field's value. A
    placeholder without a value is replaced by nothing.
    """

    def look_up(name):
        value = fields
        for word in name.split("."):
            if isinstance(value, list):
                value = value[int(word)]
            else:
                value = (value or {}).get(word)
        return value

    def fill_section(match):
        value = look_up(match[1])
        return "" if value is None else match[2].replace("{{.}}", json.dumps(value))

    def find(match):
        value = look_up(match[1])
        if value is None:
            return ""
        is_plain = isinstance(value, str) and not match[2]
        return value if is_plain else json.dumps(value)

    sections = r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n"
    text = re.sub(sections, fill_section, text, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", find, text)


@pytest.mark.parametrize(
    ("name", "kind"), [("gateway", GatewaySettings), ("control", ControlSettings)]
)
@pytest.mark.parametrize("fields", [FIELDS, WITHOUT_DISK, WITH_BOUNDS])
def test_filled_template_gives_valid_settings(name, kind, fields):
    cfg = decode_yaml(fill((DEPLOY / f"{name}.yaml").read_text(), fields), kind)
    listening = [cfg.admin, getattr(cfg, "peer", None), getattr(cfg, "address", None)]
    assert all(is_valid_address(address) for address in listening if address)


def load(name, kind, fields):
    return decode_yaml(fill((DEPLOY / f"{name}.yaml").read_text(), fields), kind)


def test_limits_of_the_platform_reach_the_settings():
    """A limit that is lost on the way would be replaced by a default."""
    gateway = load("gateway", GatewaySettings, WITH_BOUNDS)
    assert gateway.budget == BUDGET
    assert gateway.accounts == AccountSettings(fail_closed=True, revoke_ms=5000)
    assert gateway.quotas == QuotaSettings(window_s=5.0, overage=0.1, slack=20.0)
    assert gateway.rollouts == RolloutSettings(
        exposure_share=0.1, exposure_slack=50.0, rollback_ms=5000
    )
    operators = load("control", ControlSettings, WITH_BOUNDS).operators
    assert operators.quotas == gateway.quotas
    assert operators.rollouts == gateway.rollouts


def test_platform_without_accounts_quotas_and_rollouts():
    gateway = load("gateway", GatewaySettings, FIELDS)
    assert gateway.budget == BUDGET
    assert gateway.accounts == AccountSettings()
    operators = load("control", ControlSettings, FIELDS).operators
    assert [gateway.quotas, gateway.rollouts] == [None, None]
    assert [operators.quotas, operators.rollouts] == [None, None]


@pytest.mark.parametrize("bounds", [{"revokeMs": "5000"}, {"budgetSlack": []}, 3])
def test_limit_of_another_type_is_a_settings_error(bounds):
    with pytest.raises(msgspec.ValidationError):
        load("gateway", GatewaySettings, FIELDS | {"bounds": bounds})


@pytest.mark.parametrize("name", ["gateway", "control"])
def test_templates_have_plain_placeholders_only(name):
    """The stand-ins of the reviews know no sections, and started no program."""
    text = (DEPLOY / f"{name}.yaml").read_text()
    placeholders = re.findall(r"\{\{(.*?)\}\}", text)
    assert placeholders
    assert all(re.fullmatch(r"[\w.]+(\|json)?", p) for p in placeholders)


@pytest.mark.parametrize("fields", [FIELDS, WITHOUT_DISK])
def test_control_without_a_disk_is_no_member(tmp_path, fields):
    path = tmp_path / "settings.yaml"
    path.write_text(fill((DEPLOY / "control.yaml").read_text(), fields))
    assert (read_settings(path) is None) == ("dataDir" in fields)


def test_programs_of_one_vm_do_not_share_a_port():
    gateway, control = (
        decode_yaml(fill((DEPLOY / f"{name}.yaml").read_text()), kind)
        for name, kind in (("gateway", GatewaySettings), ("control", ControlSettings))
    )
    ports = [gateway.listen, gateway.readiness, gateway.admin, gateway.peer]
    ports += [control.address, control.admin, control.operators.listen]
    assert len(set(ports)) == len(ports)
