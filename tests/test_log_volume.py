"""The log never waits and stays bounded."""

import logging
import os

from egretmill.log_volume import BoundedHandler


def make_logger(descriptor, dropped, lines_per_s=1):
    """Return a logger over a handler."""
    logger = logging.Logger('test')
    handler = BoundedHandler(
        descriptor,
        lambda: dropped.append(1),
        lines_per_s,
    )
    handler.setFormatter(logging.Formatter('%(message)s'))
    logger.addHandler(handler)
    return logger


def test_volume_is_bounded_and_drops_are_counted():
    """Guards against a log that takes the processor under load."""
    reader, writer = os.pipe()
    dropped = []
    logger = make_logger(writer, dropped)
    for number in range(100):
        logger.info('line %d', number)
    os.close(writer)
    written = os.read(reader, 100000).splitlines()
    assert 2 <= len(written) <= 4
    assert len(written) + len(dropped) == 100


def test_information_does_not_displace_warnings():
    """Guards against a flood that hides the cause."""
    reader, writer = os.pipe()
    logger = make_logger(writer, [])
    for _ in range(100):
        logger.info('flood')
    logger.warning('cause')
    assert b'cause' in os.read(reader, 100000)


def test_warnings_are_bounded_too():
    """Guards against an error in a loop that fills the log."""
    _, writer = os.pipe()
    dropped = []
    logger = make_logger(writer, dropped)
    for _ in range(1000):
        logger.error('again')
    assert len(dropped) > 900


def test_reader_that_stands_still_is_not_waited_for():
    """Guards against serving that stops with the reader of its log."""
    _, writer = os.pipe()
    dropped = []
    logger = make_logger(writer, dropped, lines_per_s=100000)
    for _ in range(20000):
        logger.info('x' * 100)
    assert dropped


def test_log_without_a_reader_does_not_end_the_program():
    """Guards against an exception out of a closed pipe."""
    reader, writer = os.pipe()
    os.close(reader)
    dropped = []
    make_logger(writer, dropped).info('line')
    assert dropped
