"""OpenTelemetry metrics that are exposed on a Prometheus endpoint."""

import typing

from opentelemetry.exporter import prometheus
import opentelemetry.metrics
from opentelemetry.sdk import metrics
from opentelemetry.sdk import resources
import prometheus_client

import acaciamoor
from acaciamoor import model
from acaciamoor.telemetry import logs


class MetricsEndpoint:
    """Meter provider of a process and its HTTP endpoint ``/metrics``.

    The endpoint runs in its own thread. Without an address, metrics are
    recorded but not exposed.

    Parameters
    ----------
    identity : ProcessIdentity
        Identity of the process, exposed as labels of the metric
        ``target_info``.
    address : Address or None
        Listen address of the endpoint.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def __init__(
        self,
        identity: logs.ProcessIdentity,
        address: model.Address | None = None,
    ) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._reader = prometheus.PrometheusMetricReader(
            registry=self._registry
        )
        resource = resources.Resource(
            {
                'service.name': identity.program,
                'service.version': acaciamoor.__version__,
                'data_centre': identity.data_centre,
                'host': identity.host,
            }
        )
        self.provider = metrics.MeterProvider(
            metric_readers=[self._reader], resource=resource
        )
        self._server = None
        if address is not None:
            self._server, self._thread = prometheus_client.start_http_server(
                address.port, address.ip, self._registry
            )

    def meter(self, name: str) -> opentelemetry.metrics.Meter:
        """Return the meter for the package `name`."""
        return self.provider.get_meter(name, acaciamoor.__version__)

    def render(self) -> str:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry).decode()

    def close(self) -> None:
        """Stop the endpoint, release its address and shut down the meters."""
        if self._server is not None:
            self._server.shutdown()
            self._server.server_close()
            self._thread.join()
        self.provider.shutdown()

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
