"""Admission of new flows by importance while a service is overloaded."""

from acaciamoor.admission.caller_counts import CallerCounts
from acaciamoor.admission.controller import AdmissionController
from acaciamoor.admission.evidence import Evidence
from acaciamoor.admission.samples import CapacityEstimator
from acaciamoor.admission.settings import AdmissionSettings

__all__ = [
    'AdmissionController',
    'AdmissionSettings',
    'CallerCounts',
    'CapacityEstimator',
    'Evidence',
]
