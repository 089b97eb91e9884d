"""Format of the limits in the platform's settings."""

import msgspec

# Field of gateway settings, or of operator settings, that has the platform's limits.
BOUNDS_FIELD = "platform_bounds"


class _Bounds(msgspec.Struct, rename="camel"):
    retry_budget_ratio: float | None = None
    budget_window_s: float | None = None
    budget_slack: float | None = None
    cold_burst_factor: float | None = None
    cold_slack: float | None = None
    fail_closed: bool | None = None
    revoke_ms: int | None = None
    quota_window_s: float | None = None
    quota_overage: float | None = None
    quota_slack: float | None = None
    exposure_share: float | None = None
    exposure_slack: float | None = None
    rollback_ms: int | None = None


def translate_bounds(data):
    """Return settings with the sections that the platform's limits describe.

    The sections on accounts, quotas and rollouts are left out if the platform does not
    have these. Raises msgspec.ValidationError.
    """
    if not isinstance(data, dict):
        return data
    operators = data.get("operators")
    if isinstance(operators, dict) and BOUNDS_FIELD in operators:
        sections = _make_sections(operators[BOUNDS_FIELD])
        used = {n: sections[n] for n in ("quotas", "rollouts") if n in sections}
        data = data | {"operators": _replace_field(operators, used)}
    if BOUNDS_FIELD in data:
        data = _replace_field(data, _make_sections(data[BOUNDS_FIELD]))
    return data


def _replace_field(data, sections):
    return {k: v for k, v in data.items() if k != BOUNDS_FIELD} | sections


def _make_sections(raw):
    bounds = msgspec.convert(raw or {}, _Bounds)
    sections = {
        "budget": {
            "retry_ratio": bounds.retry_budget_ratio,
            "window_s": bounds.budget_window_s,
            "slack": bounds.budget_slack,
            "cold_burst": bounds.cold_burst_factor,
            "cold_slack": bounds.cold_slack,
        }
    }
    if bounds.revoke_ms:
        sections["accounts"] = {
            "fail_closed": bounds.fail_closed,
            "revoke_ms": bounds.revoke_ms,
        }
    if bounds.quota_window_s:
        sections["quotas"] = {
            "window_s": bounds.quota_window_s,
            "overage": bounds.quota_overage,
            "slack": bounds.quota_slack,
        }
    if bounds.exposure_share:
        sections["rollouts"] = {
            "exposure_share": bounds.exposure_share,
            "exposure_slack": bounds.exposure_slack,
            "rollback_ms": bounds.rollback_ms,
        }
    return {name: _drop_absent(section) for name, section in sections.items()}


def _drop_absent(section):
    return {name: value for name, value in section.items() if value is not None}
