"""
``spindlenotch bundle``: check, sign, publish and look at bundles.

Each command reads its files, does one thing and ends with a report. The rules
of publication are in ``publishing``; what goes over the network on behalf of
a command is in ``bundle_network``.
"""

import difflib
import pathlib

import cyclopts
import msgspec
import uvloop

from spindlenotch import selection
from spindlenotch.bundles import bundle, bundle_check, bundle_seal
from spindlenotch.cli import bundle_network, publishing, reports
from spindlenotch.entry import plugins

app = cyclopts.App(help="Check, sign, publish and look at bundles.")

#: Digits of keys and digests in lines for people.
SHOWN_DIGITS = 16


class CheckedFile(msgspec.Struct, frozen=True):
    """The text of a bundle without mistakes, and the bundle in it."""

    text: str
    bundle: bundle.Bundle


@app.command
def check(path: pathlib.Path, *, json: bool = False) -> None:
    """Check a bundle and report every mistake in it."""
    version = _read_checked(path, json).bundle.version
    text = f"{path}: version {version} is a good bundle"
    reports.finish(reports.Report(True, text, version), json=json)


@app.command
def keygen(private: pathlib.Path, *, json: bool = False) -> None:
    """Make an operator's key pair; writes PRIVATE, prints the public key."""
    if private.exists():
        reports.fail(f"{private}: exists already", json=json)
    private_hex, public_hex = bundle_seal.generate_key()
    private.touch(mode=0o600)
    private.write_text(private_hex + "\n")
    reports.finish(reports.Report(True, public_hex), json=json)


@app.command
def sign(
    path: pathlib.Path, *, key: pathlib.Path, out: pathlib.Path, json: bool = False
) -> None:
    """Sign a checked bundle with an operator's private KEY; write OUT."""
    checked = _read_checked(path, json)
    private_hex = _read_text(key, json).strip()
    try:
        sealed = bundle_seal.seal(checked.text, private_hex)
    except ValueError as error:
        reports.fail(f"{key}: {error}", json=json)
    out.write_bytes(bundle_seal.encode(sealed))
    version = checked.bundle.version
    report = reports.Report(True, f"{out}: signed", version, sealed.digest())
    reports.finish(report, json=json)


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
    order = bundle_network.PublishOrder(
        store_url=store,
        opened=_read_signed(path, json),
        base=base,
        peers=bundle_network.split_addresses(peers),
        peer_key=peer_key,
        dry_run=dry_run,
    )
    done = uvloop.run(bundle_network.publish(order))
    reports.finish(
        _report_of(order, done),
        json=json,
        code=_exit_code_of(done.published.verdict, dry_run=dry_run),
    )


@app.command
def show(*, store: str, json: bool = False) -> None:
    """Print the text of the bundle in the store."""
    envelope = _fetch_stored(store, json)
    report = reports.Report(True, envelope.text, digest=envelope.digest())
    reports.finish(report, json=json)


@app.command
def history(*, store: str, json: bool = False) -> None:
    """List the accepted versions that the store remembers, newest last."""
    log = _fetch_stored(store, json).log
    lines = tuple(
        f"{entry.version} {entry.digest[:SHOWN_DIGITS]}"
        f" by {entry.key[:SHOWN_DIGITS]} at {entry.signed_at:.0f}"
        for entry in log
    )
    report = reports.Report(True, f"{len(lines)} versions", details=lines)
    reports.finish(report, json=json)


@app.command
def diff(path: pathlib.Path, *, store: str, json: bool = False) -> None:
    """Show how the bundle in PATH differs from the one in the store."""
    stored_lines = _fetch_stored(store, json).text.splitlines()
    file_lines = _read_text(path, json).splitlines()
    difference = difflib.unified_diff(
        stored_lines, file_lines, "store", str(path), lineterm=""
    )
    reports.finish(reports.Report(True, "\n".join(difference)), json=json)


@app.command
def status(*, peers: str, peer_key: str, json: bool = False) -> None:
    """Show which version is in force on each of PEERS (peer addresses)."""
    addresses = bundle_network.split_addresses(peers)
    version_by_peer = uvloop.run(bundle_network.versions(addresses, peer_key))
    lines = tuple(
        f"{peer} {version or 'no answer'}" for peer, version in version_by_peer.items()
    )
    versions = set(version_by_peer.values())
    agreed = len(versions) == 1 and None not in versions
    text = "all agree" if agreed else "not all agree"
    reports.finish(
        reports.Report(agreed, text, details=lines),
        json=json,
        code=reports.ExitCode.OK if agreed else reports.ExitCode.FAILED,
    )


def _read_text(path: pathlib.Path, json: bool) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        reports.fail(f"{path}: {error}", json=json)


def _read_checked(path: pathlib.Path, json: bool) -> CheckedFile:
    plugins.load()
    text = _read_text(path, json)
    result = bundle_check.check(text, selection.POLICIES.names())
    if isinstance(result, bundle.Bundle):
        return CheckedFile(text, result)
    reports.fail(
        f"{path}: {len(result)} mistakes",
        json=json,
        details=tuple(str(fault) for fault in result),
    )


def _read_signed(path: pathlib.Path, json: bool) -> bundle_seal.Opened:
    """Open a signed bundle; which keys are trusted is for the entries to say."""
    sealed = bundle_seal.decode(_read_text(path, json).encode())
    if isinstance(sealed, bundle_seal.SealFault):
        reports.fail(f"{path}: {sealed.value}", json=json)
    opened = bundle_seal.open_envelope(
        sealed, frozenset({sealed.key}), selection.POLICIES.names()
    )
    if isinstance(opened, bundle_seal.SealFault):
        reports.fail(f"{path}: {opened.value}", json=json)
    return opened


def _fetch_stored(store_url: str, json: bool) -> bundle_seal.Envelope:
    plugins.load()
    failed = reports.ExitCode.FAILED
    try:
        envelope = uvloop.run(bundle_network.fetch(store_url))
    except publishing.ReadError as error:
        reports.fail(f"{store_url}: {error}", json=json, code=failed)
    if envelope is None:
        reports.fail(f"{store_url}: holds no bundle", json=json, code=failed)
    return envelope


def _report_of(
    order: bundle_network.PublishOrder, done: bundle_network.PublishResult
) -> reports.Report:
    version = order.opened.bundle.version
    digest = order.opened.digest
    verdict = done.published.verdict
    stored = _describe_stored(done.published.current)
    if order.dry_run and verdict is publishing.Verdict.NOT_ACCEPTED:
        return reports.Report(True, f"would publish version {version}; {stored}")
    if verdict is publishing.Verdict.ACCEPTED:
        text = f"version {version} is accepted; pushed to {done.pushed} entries"
        return reports.Report(True, text, version, digest)
    text = f"version {version} {verdict.value}: {stored}"
    if verdict is publishing.Verdict.UNCERTAIN:
        text = (
            f"version {version}: the store does not answer;"
            " publish again to find out whether it was accepted"
        )
    return reports.Report(False, text, version, digest)


def _describe_stored(current: bundle_seal.LogEntry | None) -> str:
    if current is None:
        return "the store holds no bundle"
    signer = current.key[:SHOWN_DIGITS]
    return f"the store holds version {current.version}, signed by {signer}"


def _exit_code_of(verdict: publishing.Verdict, *, dry_run: bool) -> reports.ExitCode:
    if verdict is publishing.Verdict.ACCEPTED:
        return reports.ExitCode.OK
    if verdict is publishing.Verdict.NOT_ACCEPTED and dry_run:
        return reports.ExitCode.OK
    if verdict is publishing.Verdict.CONFLICT:
        return reports.ExitCode.CONFLICT
    if verdict is publishing.Verdict.UNCERTAIN:
        return reports.ExitCode.UNCERTAIN
    return reports.ExitCode.FAILED
