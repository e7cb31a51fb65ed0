"""Builds the timeline of a flow or upstream from the logs of many hosts."""

from acaciamoor.explain.timeline import LogLine
from acaciamoor.explain.timeline import parse_line
from acaciamoor.explain.timeline import Timeline

__all__ = ['LogLine', 'Timeline', 'parse_line']
