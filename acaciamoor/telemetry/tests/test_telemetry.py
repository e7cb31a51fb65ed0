"""Tests of structured logging and of the metrics endpoint."""

import io
import json
import logging
import unittest
import urllib.request

from acaciamoor import settings
from acaciamoor import telemetry
from acaciamoor.demo import site

IDENTITY = telemetry.ProcessIdentity(
    'demo', data_centre='kgn-a', host='entry-1'
)


class LogsTest(unittest.TestCase):
    def test_json_line_has_identity_and_extra_fields(self):
        """Guards against log lines that cannot be attributed to a flow."""
        stream = io.StringIO()
        parser = settings.SettingsParser('demo', '', telemetry.LOG_FLAGS)
        root = logging.getLogger()
        saved_handlers, saved_level = root.handlers[:], root.level
        root.handlers.clear()
        try:
            telemetry.configure_logging(parser.parse([], {}), IDENTITY, stream)
            logging.getLogger('demo').info(
                'routed %d', 3, extra={'service': 'desk', 'flow': 'ab12'}
            )
        finally:
            root.handlers[:] = saved_handlers
            root.setLevel(saved_level)
        line = json.loads(stream.getvalue())
        self.assertEqual(
            ('routed 3', 'kgn-a', 'entry-1', 'desk', 'ab12'),
            (
                line['message'],
                line['data_centre'],
                line['host'],
                line['service'],
                line['flow'],
            ),
        )


class MetricsTest(unittest.TestCase):
    def test_endpoint_exposes_counter_with_its_labels(self):
        """Guards against an endpoint that exposes the wrong registry."""
        address = site.find_free_address()
        with telemetry.MetricsEndpoint(IDENTITY, address) as endpoint:
            counter = endpoint.meter('demo').create_counter('demo_flows')
            counter.add(2, {'service': 'desk'})
            url = f'http://{address}/metrics'
            with urllib.request.urlopen(url) as response:
                text = response.read().decode()
        self.assertIn('demo_flows_total{', text)
        self.assertIn('service="desk"', text)
        self.assertIn('data_centre="kgn-a"', text)
