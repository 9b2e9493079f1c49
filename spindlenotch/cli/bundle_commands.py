"""
``spindlenotch bundle``: check, sign, publish and look at bundles.
"""

import asyncio
import dataclasses
import difflib
import pathlib
import sys
import time
import typing

import cyclopts
import msgspec
import uvloop

from spindlenotch import ids, metrics, ports, selection
from spindlenotch.bundles import bundle, bundle_check, bundle_seal
from spindlenotch.cli import publishing
from spindlenotch.entry import entry_state, plugins
from spindlenotch.peers import documents, peer_codec, peer_link, peer_seal

app = cyclopts.App(help="Check, sign, publish and look at bundles.")

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNCERTAIN = 4


class Report(msgspec.Struct, omit_defaults=True):
    """What a command has to say, printed as text or JSON."""

    ok: bool
    text: str
    version: int = 0
    digest: str = ""
    mistakes: tuple[str, ...] = ()


def _say(report: Report, json: bool, code: int = EXIT_OK) -> typing.NoReturn:
    if json:
        print(msgspec.json.encode(report).decode())
    else:
        stream = sys.stdout if report.ok else sys.stderr
        print(report.text, file=stream)
        for mistake in report.mistakes:
            print("  " + mistake, file=stream)
    sys.exit(code)


def _read(path: pathlib.Path, json: bool) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        _say(Report(False, f"{path}: {error}"), json, EXIT_BAD_INPUT)


def _checked(path: pathlib.Path, json: bool) -> tuple[str, bundle.Bundle]:
    plugins.load()
    text = _read(path, json)
    result = bundle_check.check(text, selection.POLICIES.names())
    if isinstance(result, bundle.Bundle):
        return text, result
    report = Report(
        False,
        f"{path}: {len(result)} mistakes",
        mistakes=tuple(str(m) for m in result),
    )
    _say(report, json, EXIT_BAD_INPUT)


@app.command
def check(path: pathlib.Path, *, json: bool = False) -> None:
    """Check a bundle and report every mistake in it."""
    text, found = _checked(path, json)
    text = f"{path}: version {found.version} is a good bundle"
    _say(Report(True, text, found.version), json)


@app.command
def keygen(private: pathlib.Path, *, json: bool = False) -> None:
    """Make an operator's key pair; writes PRIVATE, prints the public key."""
    if private.exists():
        _say(Report(False, f"{private}: exists already"), json, EXIT_BAD_INPUT)
    secret, public = bundle_seal.generate_key()
    private.touch(mode=0o600)
    private.write_text(secret + "\n")
    _say(Report(True, public), json)


@app.command
def sign(
    path: pathlib.Path, *, key: pathlib.Path, out: pathlib.Path, json: bool = False
) -> None:
    """Sign a checked bundle with an operator's private KEY; write OUT."""
    text, found = _checked(path, json)
    try:
        sealed = bundle_seal.seal(text, _read(key, json).strip())
    except ValueError as error:
        _say(Report(False, f"{key}: {error}"), json, EXIT_BAD_INPUT)
    out.write_bytes(bundle_seal.encode(sealed))
    report = Report(True, f"{out}: signed", found.version, sealed.digest())
    _say(report, json)


@app.command
def publish(
    path: pathlib.Path,
    *,
    store: str,
    base: int,
    peers: str = "",
    peer_key: str = "",
    dry_run: bool = False,
    json: bool = False,
) -> None:
    """
    Publish a signed bundle.

    Parameters
    ----------
    path: The signed bundle.
    store: URL of the platform's key-value service.
    base: Version you started from; 0 for the first bundle.
    peers: Peer addresses of entries to push to, comma-separated.
    peer_key: Key that authenticates towards them.
    dry_run: Say what would happen; write nothing.
    json: Print JSON only.
    """
    plugins.load()
    sealed = bundle_seal.decode(_read(path, json).encode())
    if isinstance(sealed, bundle_seal.SealFault):
        _say(Report(False, f"{path}: {sealed.value}"), json, EXIT_BAD_INPUT)
    opened = bundle_seal.open_envelope(
        sealed, frozenset({sealed.key}), selection.POLICIES.names()
    )
    if isinstance(opened, bundle_seal.SealFault):
        _say(Report(False, f"{path}: {opened.value}"), json, EXIT_BAD_INPUT)
    order = _Order(store, opened, base, peers, peer_key, dry_run)
    report, code = uvloop.run(_publish(order))
    _say(report, json, code)


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    store: str
    opened: bundle_seal.Opened
    base: int
    peers: str
    peer_key: str
    dry_run: bool


async def _publish(order: _Order) -> tuple[Report, int]:
    store = ports.STORES.get("http")(order.store)
    opened = order.opened
    try:
        result = await publishing.publish(
            store,
            opened.envelope,
            version=opened.bundle.version,
            base=order.base,
            published_at=time.time(),
            dry_run=order.dry_run,
        )
    finally:
        await store.close()
    pushed = 0
    if result.verdict is publishing.Verdict.ACCEPTED and order.peers:
        pushed = await _push(order)
    return _publish_report(order, result, pushed)


async def _push(order: _Order) -> int:
    """Offer the accepted bundle to entries; return how many took it."""
    link = peer_link.PeerLink(
        peer_seal.Sealer((order.peer_key.encode(),)),
        metrics.Metrics(),
        lambda message: None,
        lambda frame: frame.document,
        peer_codec.CAPNP,
    )
    document = entry_state.document_of(order.opened)
    targets = [ids.Address(peer) for peer in order.peers.split(",") if peer]
    answers = await asyncio.gather(*(link.push(t, document) for t in targets))
    return sum(a is not None and a.version >= document.version for a in answers)


def _publish_report(
    order: _Order, result: publishing.Published, pushed: int
) -> tuple[Report, int]:
    version = order.opened.bundle.version
    digest = order.opened.digest
    found = result.current
    theirs = (
        f"the store holds version {found.version}, signed by {found.key[:16]}"
        if found
        else "the store holds no bundle"
    )
    if order.dry_run and result.verdict is publishing.Verdict.NOT_ACCEPTED:
        return Report(True, f"would publish version {version}; {theirs}"), EXIT_OK
    if result.verdict is publishing.Verdict.ACCEPTED:
        text = f"version {version} is accepted; {pushed} entries told directly"
        return Report(True, text, version, digest), EXIT_OK
    text = f"version {version} {result.verdict.value}: {theirs}"
    code = EXIT_FAILED
    if result.verdict is publishing.Verdict.CONFLICT:
        code = EXIT_CONFLICT
    if result.verdict is publishing.Verdict.UNCERTAIN:
        text = f"version {version}: the store does not answer; publish again to learn"
        code = EXIT_UNCERTAIN
    return Report(False, text, version, digest), code


async def _fetch(store_url: str) -> bundle_seal.Envelope | None:
    plugins.load()
    store = ports.STORES.get("http")(store_url)
    try:
        return await publishing.current(store)
    finally:
        await store.close()


def _stored(store: str, json: bool) -> bundle_seal.Envelope:
    try:
        found = uvloop.run(_fetch(store))
    except publishing.ReadError as error:
        _say(Report(False, f"{store}: {error}"), json, EXIT_FAILED)
    if found is None:
        _say(Report(False, f"{store}: holds no bundle"), json, EXIT_FAILED)
    return found


@app.command
def show(*, store: str, json: bool = False) -> None:
    """Print the text of the bundle in the store."""
    envelope = _stored(store, json)
    _say(Report(True, envelope.text, digest=envelope.digest()), json)


@app.command
def history(*, store: str, json: bool = False) -> None:
    """List the accepted versions that the store remembers, newest last."""
    envelope = _stored(store, json)
    lines = tuple(
        f"{e.version} {e.digest[:16]} by {e.key[:16]} at {e.signed_at:.0f}"
        for e in envelope.log
    )
    _say(Report(True, f"{len(lines)} versions", mistakes=lines), json)


@app.command
def diff(path: pathlib.Path, *, store: str, json: bool = False) -> None:
    """Show how the bundle in PATH differs from the one in the store."""
    theirs = _stored(store, json).text.splitlines()
    ours = _read(path, json).splitlines()
    lines = difflib.unified_diff(theirs, ours, "store", str(path), lineterm="")
    _say(Report(True, "\n".join(lines)), json)


@app.command
def status(*, peers: str, peer_key: str, json: bool = False) -> None:
    """Show which version is in force on each of PEERS (peer addresses)."""
    found = uvloop.run(_status(peers, peer_key))
    lines = tuple(f"{peer} {version or 'no answer'}" for peer, version in found.items())
    versions = set(found.values())
    agreed = len(versions) == 1 and None not in versions
    text = "all agree" if agreed else "not all agree"
    _say(Report(agreed, text, mistakes=lines), json, EXIT_OK if agreed else EXIT_FAILED)


async def _status(peers: str, peer_key: str) -> dict[str, int | None]:
    link = peer_link.PeerLink(
        peer_seal.Sealer((peer_key.encode(),)),
        metrics.Metrics(),
        lambda message: None,
        lambda frame: frame.document,
        peer_codec.CAPNP,
    )
    targets = [ids.Address(peer) for peer in peers.split(",") if peer]
    kind = documents.DocumentKind.BUNDLE
    answers = await asyncio.gather(*(link.ask(t, kind) for t in targets))
    return {
        target: answer.version if answer else None
        for target, answer in zip(targets, answers, strict=True)
    }
