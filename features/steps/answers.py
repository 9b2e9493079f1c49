"""Steps that judge the answer to one request."""

import typing

import behave

from spindlenotch import client


@behave.then('the answer is status {status:d} with outcome "{outcome}"')
def answered(context: typing.Any, status: int, outcome: str) -> None:
    answer = context.answer
    assert isinstance(answer, client.Answer), answer
    assert (answer.status, answer.outcome.value) == (status, outcome), answer


@behave.then("the answer is whole and its own")
def whole(context: typing.Any) -> None:
    head, _, rest = context.answer.body.partition(b"\n")
    assert f"ran {context.work} ".encode() in head, head
    assert len(rest) == 100_000, len(rest)


@behave.then('"{work}" ran exactly {times:d} time')
@behave.then('"{work}" ran exactly {times:d} times')
def ran_exactly(context: typing.Any, work: str, times: int) -> None:
    runs = context.runner.run(context.fleet.runs_of(work))
    assert runs == times, runs


@behave.then("there is no whole answer")
def no_answer(context: typing.Any) -> None:
    answer = context.answer
    if isinstance(answer, client.Answer):
        assert answer.status == 502 and answer.outcome.value == "unknown", answer


@behave.then("the answer says when to come back")
def come_back(context: typing.Any) -> None:
    assert context.answer.retry_after_s is not None, context.answer
