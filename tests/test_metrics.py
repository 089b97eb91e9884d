"""Guard against metrics that lose counts, grow without limit or slow the start."""

import os
import subprocess
import sys
from pathlib import Path

from wisteriaworks import metrics
from wisteriaworks.metrics import Metrics


def render(instruments):
    return instruments.render().decode().splitlines()


def test_counts_are_rendered_by_attributes():
    instruments = Metrics("wisteria-test", "n1")
    instruments.claims.add(2, {"result": "taken"})
    instruments.claims.add(1, {"result": "taken"})
    instruments.claims.add(1, {"result": "lost"})
    lines = render(instruments)
    assert 'wisteria_claims_total{result="taken"} 3.0' in lines
    assert 'wisteria_claims_total{result="lost"} 1.0' in lines
    info = 'target_info{service_instance_id="n1",service_name="wisteria-test"} 1.0'
    assert info in lines


def test_durations_are_counted_up_to_their_bounds():
    instruments = Metrics()
    for value in (1, 1.5, 9000):
        instruments.request_ms.record(value, {"search": "a"})
    lines = render(instruments)
    name = "wisteria_request_duration_milliseconds"
    assert f'{name}_bucket{{le="1",search="a"}} 1.0' in lines
    assert f'{name}_bucket{{le="2",search="a"}} 2.0' in lines
    assert f'{name}_bucket{{le="+Inf",search="a"}} 3.0' in lines
    assert f'{name}_count{{search="a"}} 3.0' in lines
    assert f'{name}_sum{{search="a"}} 9002.5' in lines


def test_gauges_are_read_when_they_are_rendered():
    instruments, values = Metrics(), [1]
    instruments.create_gauge(
        "wisteria.configuration.version", "In force", lambda: values[-1]
    )
    values.append(7)
    assert "wisteria_configuration_version 7.0" in render(instruments)


def test_attributes_above_the_limit_share_one_series(monkeypatch):
    """Attribute values chosen by callers must not use unlimited memory."""
    monkeypatch.setattr(metrics, "MAX_SERIES", 3)
    instruments = Metrics()
    for number in range(10):
        instruments.requests.add(1, {"search": str(number)})
    assert len(instruments.requests.series) == 4
    line = 'wisteria_requests_total{otel_metric_overflow="true"} 7.0'
    assert line in render(instruments)


def test_process_start_does_not_import_lazy_modules():
    """Imports must not delay a restart after a crash; each module adds 10 to 60 ms."""
    lazy_modules = ["cleo", "httpcore", "opentelemetry", "prometheus_client"]
    code = (
        "import sys, wisteriaworks.gateway.program, wisteriaworks.control;"
        f"sys.exit(str([name for name in {lazy_modules} if name in sys.modules]))"
    )
    source = str(Path(metrics.__file__).parent.parent)
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, "PYTHONPATH": source},
    )
    assert done.stderr.strip() == "[]"
