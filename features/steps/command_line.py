"""Steps that use the command line as a person would."""

import asyncio
import json
import pathlib
import sys
import typing

import behave

from features.support import entry_fleet, processes, sample_bundle
from tools import make_docs


async def _run(*arguments: str) -> tuple[int, str, str]:
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "spindlenotch",
        *arguments,
        cwd=processes.ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    async with asyncio.timeout(30):
        out, err = await child.communicate()
    assert child.returncode is not None
    return child.returncode, out.decode(), err.decode()


@behave.then('help is printed for "{commands}"')
def helps(context: typing.Any, commands: str) -> None:
    for command in commands.split(","):
        code, out, err = context.runner.run(_run(*command.split(), "--help"))
        assert code == 0 and "Usage" in out, (command, out, err)


@behave.when("the entry is started with bad settings")
def bad_settings(context: typing.Any) -> None:
    context.result = context.runner.run(
        _run(
            "entry",
            "--host=UPPER",
            "--zone=z1",
            "--store=ftp://x",
            "--host-list=http://127.0.0.1:1",
            "--peer-keys=short",
            f"--trusted-keys={'a' * 64}",
            "--colour=blue",
        )
    )


@behave.then("the exit code is {code:d} and {count:d} flags are named")
def named(context: typing.Any, code: int, count: int) -> None:
    found, _, err = context.result
    lines = [line for line in err.splitlines() if line.startswith("--")]
    assert (found, len(lines)) == (code, count), context.result
    assert "short" not in err, "a secret was printed"


@behave.when("an operator checks, signs and publishes version 1 by the command line")
def operator(context: typing.Any) -> None:
    context.runner.run(_operator(context))


async def _operator(context: typing.Any) -> None:
    folder = pathlib.Path(context.fleet.scratch.name)
    text, key, signed = folder / "b.toml", folder / "key", folder / "b.signed"
    text.write_text(sample_bundle.text_of(1))
    code, out, err = await _run("bundle", "check", str(text), "--json")
    assert code == 0 and json.loads(out)["version"] == 1, (out, err)
    code, out, err = await _run("bundle", "keygen", str(key))
    assert code == 0, err
    context.fleet.public_key = out.strip()
    code, out, err = await _run(
        "bundle", "sign", str(text), "--key", str(key), "--out", str(signed)
    )
    assert code == 0, err
    publish = ("bundle", "publish", str(signed), "--store", context.fleet.store_url)
    code, out, err = await _run(*publish, "--base", "0", "--dry-run")
    assert code == 0 and "would publish" in out, (out, err)
    code, out, err = await _run(*publish, "--base", "0")
    assert code == 0 and "accepted" in out, (out, err)
    context.files = (text, key, signed)


@behave.then("status says that all agree on version {version:d}")
def status(context: typing.Any, version: int) -> None:
    peers = ",".join(e.peer_address for e in context.fleet.entry_by_host.values())
    code, out, err = context.runner.run(
        _run("bundle", "status", "--peers", peers, "--peer-key", entry_fleet.PEER_KEY)
    )
    assert code == 0 and out.count(f" {version}\n") == 3, (out, err)


@behave.then("publishing from version 0 again with another text is a conflict")
def conflict(context: typing.Any) -> None:
    text, key, _ = context.files
    other = text.with_name("other.toml")
    signed = text.with_name("other.signed")
    other.write_text(text.read_text() + "\n# another operator\n")
    store = context.fleet.store_url

    async def run() -> tuple[int, str, str]:
        await _run(
            "bundle", "sign", str(other), "--key", str(key), "--out", str(signed)
        )
        return await _run(
            "bundle", "publish", str(signed), "--store", store, "--base", "0"
        )

    code, _, err = context.runner.run(run())
    assert code == 3 and "the store holds version 1" in err, (code, err)


@behave.then("publishing the accepted file again says that it is accepted")
def again(context: typing.Any) -> None:
    signed = context.files[2]
    store = context.fleet.store_url
    code, out, err = context.runner.run(
        _run("bundle", "publish", str(signed), "--store", store, "--base", "0")
    )
    assert code == 0 and "accepted" in out, (out, err)


@behave.then("diff, show and history tell of version 1")
def tell(context: typing.Any) -> None:
    text = context.files[0]
    store = context.fleet.store_url
    for command, expected in (
        (("bundle", "show", "--store", store), "version = 1"),
        (("bundle", "history", "--store", store), "1 versions"),
    ):
        code, out, err = context.runner.run(_run(*command))
        assert code == 0 and expected in out, (out, err)
    changed = text.with_name("changed.toml")
    changed.write_text(text.read_text().replace("slots = 6", "slots = 7"))
    code, out, err = context.runner.run(
        _run("bundle", "diff", str(changed), "--store", store)
    )
    assert code == 0 and "-slots = 6" in out and "+slots = 7" in out, (out, err)


@behave.then("explain says which upstream took it and why")
def explains(context: typing.Any) -> None:
    entry = context.fleet.entry_by_host["e0"]
    answer = context.answer
    code, out, err = context.runner.run(
        _run("explain", entry.operator_address, "--call", answer.request_id)
    )
    assert code == 0 and f"first: {answer.upstream}, own slot" in out, (out, err)
    code, out, err = context.runner.run(
        _run("explain", entry.operator_address, "--service", "resv")
    )
    assert code == 0 and all(w in out for w in ("w0", "w1", "w2")), (out, err)


@behave.then("every page that is made from the code is as committed")
def pages(context: typing.Any) -> None:
    for name, text in make_docs.pages().items():
        committed = (make_docs.DOCS / name).read_text()
        assert committed == text, f"docs/{name}: run `make docs`"


@behave.when("a gateway's settings are checked with a bad file and a bad flag")
def gateway_settings(context: typing.Any) -> None:
    path = pathlib.Path(context.fleet.scratch.name) / "gateway.toml"
    path.write_text('listen = "nowhere"\nsource_driver = "none"\npeer_keys = "short"\n')
    context.result = context.runner.run(
        _run("gateway", "--check", f"--settings-file={path}", "--nonsense=1")
    )


@behave.then('the exit code is {code:d} and the faults name "{flags}"')
def faults_named(context: typing.Any, code: int, flags: str) -> None:
    found, _, err = context.result
    assert found == code, context.result
    for flag in flags.split(","):
        assert any(line.startswith(flag) for line in err.splitlines()), (flag, err)
