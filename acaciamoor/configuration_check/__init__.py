"""Checks of a configuration file before it is sent."""

from acaciamoor.configuration_check.checker import check
from acaciamoor.configuration_check.differences import Difference
from acaciamoor.configuration_check.reader import Configuration
from acaciamoor.configuration_check.reader import read
from acaciamoor.configuration_check.report import Report

__all__ = ['Configuration', 'Difference', 'Report', 'check', 'read']
