"""Tests of the binary file format of client blocks."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.lookup import ranges
from egretmill.lookup.blocks import Change, ClientBlocks
from egretmill.lookup.blocks_file import (
    BlocksReader,
    Chunk,
    Header,
    digest_steps,
    encode_blocks,
    encode_frame,
)

NETWORKS = tuple(f'10.{index}.0.0/16' for index in range(30))
BLOCKS = ClientBlocks.from_changes(
    [
        Change.from_network(network, f'site-{index % 3}')
        for index, network in enumerate(NETWORKS)
    ]
    + [Change.from_network('2001:db8::/32', 'site-9')],
).unwrap()
BODY = b''.join(encode_blocks(BLOCKS))
DIGEST = list(digest_steps(BLOCKS))[-1]
HEADER = encode_frame(Header(1, ('a-1',)))


def read(parts, digest=DIGEST):
    """Read a file from parts."""
    reader = BlocksReader()
    for part in parts:
        fed = reader.feed(part)
        if fed.is_err():
            return fed
    return reader.finish(digest)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, len(BODY)), max_size=9))
def test_file_is_read_in_any_parts(cuts):
    """Guards against frames that are cut between two messages."""
    edges = [0, *sorted(cuts), len(BODY)]
    parts = [BODY[low:high] for low, high in zip(edges, edges[1:])]
    blocks = read(parts).unwrap()
    for network in NETWORKS:
        client = network.split('/')[0]
        assert blocks.site_of(client) == BLOCKS.site_of(client)
    assert blocks.site_of('2001:db8::1') == 'site-9'


@settings(derandomize=True, deadline=None)
@given(st.integers(0, len(BODY) - 1), st.integers(1, 255))
def test_damaged_byte_is_found(position, flip):
    """Guards against a damaged file that is put in use."""
    damaged = bytearray(BODY)
    damaged[position] ^= flip
    assert read([bytes(damaged)]).is_err()


@settings(derandomize=True, deadline=None)
@given(st.integers(0, len(BODY) - 1))
def test_cut_file_is_found(length):
    """Guards against the first part of a file that is put in use."""
    assert read([BODY[:length]]).is_err()


@pytest.mark.parametrize(
    'body',
    [
        encode_frame(Chunk(4, b'\x00' * 4, b'\x00')),
        HEADER + HEADER,
        encode_frame(Header(2, ())),
        encode_frame(Header(1, ('a',) * 256)),
        HEADER + encode_frame(Chunk(4, b'\x01\x00\x00\x00', b'\x00')),
        HEADER + encode_frame(Chunk(4, b'\x00' * 4, b'\x07')),
        HEADER + encode_frame(Chunk(4, b'\x00' * 8, b'\x00\x00')),
        HEADER + encode_frame(Chunk(4, b'\x00' * 7, b'\x00')),
        HEADER + encode_frame(Chunk(5, b'\x00' * 4, b'\x00')),
        b'\xff\xff\xff\xff',
    ],
    ids=[
        'no header',
        'two headers',
        'other format',
        'too many sites',
        'does not start at 0',
        'unknown site',
        'starts out of order',
        'uneven starts',
        'unknown family',
        'endless frame',
    ],
)
def test_broken_frames_are_refused(body):
    """Guards against invalid frames that get into the table.

    Each is refused by its own check, before the digest is compared.
    """
    refused = read([body]).unwrap_err()
    assert refused.detail.startswith('blocks: ')
    assert 'digest' not in refused.detail


def test_file_does_not_depend_on_the_history_of_chunks(monkeypatch):
    """Guards against equal tables with different digests.

    Chunks in memory depend on the order of changes; the file must not.
    """
    monkeypatch.setattr(ranges, 'CHUNK_SEGMENTS', 4)
    small = list(digest_steps(read([BODY]).unwrap()))[-1]
    rebuilt = ClientBlocks.empty()
    rebuilt.sites.extend(BLOCKS.sites)
    for segments in BLOCKS.v4.canonical_chunks():
        for start, site in zip(segments.starts, segments.sites, strict=True):
            rebuilt.v4.append(start, site)
    for segments in BLOCKS.v6.canonical_chunks():
        for start, site in zip(segments.starts, segments.sites, strict=True):
            rebuilt.v6.append(start, site)
    assert list(digest_steps(rebuilt))[-1] == small
