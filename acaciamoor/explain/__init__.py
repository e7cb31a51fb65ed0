"""Shows the timeline of a flow or an upstream from the logs of many hosts."""

from acaciamoor.explain.timeline import Line
from acaciamoor.explain.timeline import parse_line
from acaciamoor.explain.timeline import Timeline

__all__ = ['Line', 'Timeline', 'parse_line']
