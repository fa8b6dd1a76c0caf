"""The log handler never blocks and its volume stays bounded."""

import logging
import os

from egretmill.log_volume import BoundedHandler


def make_logger(descriptor, dropped, lines_per_s=1):
    """Return a logger that writes to a descriptor through the handler."""
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
    """Guards against a log that takes up the processor under load."""
    reader, writer = os.pipe()
    dropped = []
    logger = make_logger(writer, dropped)
    for number in range(100):
        logger.info('line %d', number)
    os.close(writer)
    written = os.read(reader, 100000).splitlines()
    assert 2 <= len(written) <= 4
    assert len(written) + len(dropped) == 100


def test_flood_of_information_does_not_suppress_warnings():
    """Guards against a flood of lines that hides the cause of a fault."""
    reader, writer = os.pipe()
    logger = make_logger(writer, [])
    for _ in range(100):
        logger.info('flood')
    logger.warning('cause')
    assert b'cause' in os.read(reader, 100000)


def test_warnings_are_bounded_too():
    """Guards against a repeated error that fills the log."""
    _, writer = os.pipe()
    dropped = []
    logger = make_logger(writer, dropped)
    for _ in range(1000):
        logger.error('again')
    assert len(dropped) > 900


def test_stalled_reader_does_not_block_the_log():
    """Guards against a program that blocks because its log is not read."""
    _, writer = os.pipe()
    dropped = []
    logger = make_logger(writer, dropped, lines_per_s=100000)
    for _ in range(20000):
        logger.info('x' * 100)
    assert dropped


def test_log_without_a_reader_does_not_end_the_program():
    """Guards against an exception from a pipe that its reader closed."""
    reader, writer = os.pipe()
    os.close(reader)
    dropped = []
    make_logger(writer, dropped).info('line')
    assert dropped
