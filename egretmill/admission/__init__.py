"""Admission control with a queue that is fair between client accounts."""

from egretmill.admission.entry import Attempt, Shortage, Waiting
from egretmill.admission.gate import Gate
from egretmill.admission.queue import FairQueue

__all__ = ('Attempt', 'FairQueue', 'Gate', 'Shortage', 'Waiting')
