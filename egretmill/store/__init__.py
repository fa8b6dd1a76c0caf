"""Access to the platform: table service, object store and host list."""

from egretmill.store.http import StoreClient
from egretmill.store.ports import (
    HostListSource,
    Hosts,
    ObjectStore,
    Put,
    Row,
    TableService,
)

__all__ = (
    'HostListSource',
    'Hosts',
    'ObjectStore',
    'Put',
    'Row',
    'StoreClient',
    'TableService',
)
