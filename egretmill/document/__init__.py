"""The environment document: model, rules and indexed form."""

from egretmill.document.environment import (
    Environment,
    body_digest,
    load_document,
)
from egretmill.document.model import (
    ClientAccount,
    Document,
    Drain,
    FailureDomain,
    Key,
    Link,
    QuotaTiming,
    Region,
    Route,
    Service,
    ShiftCap,
    Site,
)

__all__ = (
    'ClientAccount',
    'Document',
    'Drain',
    'Environment',
    'FailureDomain',
    'Key',
    'Link',
    'QuotaTiming',
    'Region',
    'Route',
    'Service',
    'ShiftCap',
    'Site',
    'body_digest',
    'load_document',
)
