"""Caller that checks every promise made to it."""

from acaciamoor.standins.caller.checks import check_runs
from acaciamoor.standins.caller.client import Client
from acaciamoor.standins.caller.client import Traffic
from acaciamoor.standins.caller.tally import ServiceTally

__all__ = ['Client', 'ServiceTally', 'Traffic', 'check_runs']
