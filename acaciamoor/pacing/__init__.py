"""Pace of new flows at upstreams in warm-up, without exchanging counts."""

from acaciamoor.pacing.pacer import PacingSettings
from acaciamoor.pacing.pacer import WarmUpPacer

__all__ = ['PacingSettings', 'WarmUpPacer']
