"""HTTP/1.1 connections to callers and upstreams on asyncio transports.

:mod:`httptools` parses the messages. Pipelined requests of a connection are
served concurrently and answered in order.
"""

from egretmill.http1.body import Body
from egretmill.http1.buffers import BufferBudget, CallerMemory, Eviction
from egretmill.http1.client import (
    CallFailure,
    ClientConnection,
    FailureCause,
    connect,
)
from egretmill.http1.handling import (
    ConnectionLimits,
    PendingAnswer,
    RequestHandler,
)
from egretmill.http1.idle import IdleConnections
from egretmill.http1.intake import Intake
from egretmill.http1.messages import RequestHead, Response
from egretmill.http1.overlapping import (
    OverlappingRead,
    ReadAttempt,
    ReadTiming,
)
from egretmill.http1.request_writer import Call
from egretmill.http1.response_reader import MAX_HEADERS
from egretmill.http1.server import ServerConnection, drain
from egretmill.http1.usage import ConnectionUsage

__all__ = (
    'MAX_HEADERS',
    'Body',
    'BufferBudget',
    'Call',
    'CallFailure',
    'CallerMemory',
    'ClientConnection',
    'ConnectionLimits',
    'ConnectionUsage',
    'Eviction',
    'FailureCause',
    'IdleConnections',
    'Intake',
    'OverlappingRead',
    'PendingAnswer',
    'ReadAttempt',
    'ReadTiming',
    'RequestHandler',
    'RequestHead',
    'Response',
    'ServerConnection',
    'connect',
    'drain',
)
