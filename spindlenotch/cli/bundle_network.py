"""
What bundle commands do over the network: the store, and entries as peers.

Owns the short-lived connections of one command. Relies on ``publishing`` for
the rules of publication and on the entries' peer link for everything else.
Entries need no push, as they watch the store; it only saves them the wait.
"""

import asyncio
import time

import msgspec

from spindlenotch import ids, metrics, ports
from spindlenotch.bundles import bundle_seal
from spindlenotch.cli import publishing
from spindlenotch.entry import documents_in_force
from spindlenotch.peers import capnp_codec, documents, peer_link, peer_seal


class PublishOrder(msgspec.Struct, frozen=True):
    """A signed bundle, the version it follows, and where it is to go."""

    store_url: str
    opened: bundle_seal.Opened
    base: int
    peers: tuple[ids.Address, ...]
    peer_key: str
    dry_run: bool


class PublishResult(msgspec.Struct, frozen=True):
    """What became of an order; ``pushed`` counts entries that have the bundle."""

    published: publishing.Published
    pushed: int


def split_addresses(text: str) -> tuple[ids.Address, ...]:
    """Return the addresses of a comma-separated list."""
    return tuple(ids.Address(part) for part in text.split(",") if part)


async def publish(order: PublishOrder) -> PublishResult:
    """Publish a bundle and, once it is accepted, push it to the peers."""
    store = ports.STORES.get("http")(order.store_url)
    try:
        published = await publishing.publish(
            store,
            order.opened.envelope,
            version=order.opened.bundle.version,
            base=order.base,
            published_at=time.time(),
            dry_run=order.dry_run,
        )
    finally:
        await store.close()
    pushed = 0
    if published.verdict is publishing.Verdict.ACCEPTED and order.peers:
        pushed = await _push(order)
    return PublishResult(published, pushed)


async def fetch(store_url: str) -> bundle_seal.Envelope | None:
    """
    Return the envelope in the store, None where there is none.

    Raise ``publishing.ReadError`` where it could not be read.
    """
    store = ports.STORES.get("http")(store_url)
    try:
        return await publishing.current(store)
    finally:
        await store.close()


async def versions(
    peers: tuple[ids.Address, ...], peer_key: str
) -> dict[ids.Address, int | None]:
    """Return the version in force by peer, None where a peer does not answer."""
    link = _client_link(peer_key)
    kind = documents.DocumentKind.BUNDLE
    answers = await asyncio.gather(*(link.fetch(peer, kind) for peer in peers))
    return {
        peer: answer.version if answer else None
        for peer, answer in zip(peers, answers, strict=True)
    }


async def _push(order: PublishOrder) -> int:
    """Offer the bundle to the peers; return how many have it or a later one."""
    link = _client_link(order.peer_key)
    document = documents_in_force.document_of(order.opened)
    answers = await asyncio.gather(*(link.push(p, document) for p in order.peers))
    return sum(a is not None and a.version >= document.version for a in answers)


def _client_link(peer_key: str) -> peer_link.PeerLink:
    """Return a link that only calls: it never listens, so nothing comes in."""
    return peer_link.PeerLink(
        peer_seal.Sealer((peer_key.encode(),)),
        metrics.Metrics(),
        on_gossip=lambda message: None,
        on_frame=lambda frame: frame.document,
        codec=capnp_codec.CAPNP,
    )
