"""Checks of a configuration file before it is sent."""

from acaciamoor.configuration_check import route_checker
from acaciamoor.configuration_check.checker import check
from acaciamoor.configuration_check.differences import Difference
from acaciamoor.configuration_check.reader import Configuration
from acaciamoor.configuration_check.reader import read
from acaciamoor.configuration_check.reader import read_object
from acaciamoor.configuration_check.report import Report
from acaciamoor.configuration_check.routes import RouteConfiguration

__all__ = [
    'Configuration',
    'Difference',
    'Report',
    'RouteConfiguration',
    'check',
    'read',
    'read_object',
    'route_checker',
]
