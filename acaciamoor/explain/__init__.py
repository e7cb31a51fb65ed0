"""Tells the story of a flow or an upstream from the logs of many hosts."""

from acaciamoor.explain.story import Line
from acaciamoor.explain.story import parse_line
from acaciamoor.explain.story import Story

__all__ = ['Line', 'Story', 'parse_line']
