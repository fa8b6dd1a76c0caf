"""Admission control with a queue that is fair between client accounts."""

from egretmill.admission.entry import Attempt, QueuedRequest, TransientFailure
from egretmill.admission.gate import AdmissionController
from egretmill.admission.queue import FairQueue

__all__ = (
    'AdmissionController',
    'Attempt',
    'FairQueue',
    'QueuedRequest',
    'TransientFailure',
)
