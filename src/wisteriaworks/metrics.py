"""Create OpenTelemetry instruments and render them for scraping."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

_LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 35, 50, 75, 100, 140, 200, 350, 500, 1000, 5000)


class Metrics:
    """Hold the instruments of one process."""

    def __init__(self, meter):
        self.requests = meter.create_counter(
            "wisteria.requests", description="Requests by search, caller and outcome"
        )
        self.request_ms = meter.create_histogram(
            "wisteria.request.duration",
            unit="ms",
            description="Time from a request to its answer",
            explicit_bucket_boundaries_advisory=_LATENCY_BOUNDS_MS,
        )
        self.subqueries = meter.create_counter(
            "wisteria.subqueries", description="Sub-query attempts by kind and outcome"
        )
        self.missing_shards = meter.create_counter(
            "wisteria.shards.missing", description="Shards missing from answers"
        )
        self.claims = meter.create_counter(
            "wisteria.claims", description="Claims of non-idempotent requests by result"
        )
        self.proposals = meter.create_counter(
            "wisteria.proposals", description="Commands proposed to the replicated log"
        )


def create_metrics(program, name):
    """Return the instruments of a process, exported for scraping."""
    resource = Resource.create({"service.name": program, "service.instance.id": name})
    provider = MeterProvider([PrometheusMetricReader()], resource)
    return Metrics(provider.get_meter("wisteriaworks"))


def create_unexported_metrics():
    """Return instruments that nobody reads, for tests and tools."""
    return Metrics(MeterProvider().get_meter("wisteriaworks"))


def render_metrics():
    """Return all metrics of the process in the Prometheus text format."""
    return generate_latest(REGISTRY)
