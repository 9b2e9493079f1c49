"""
The samples of names that operators, callers and tools rely on.

To record something new, add its sample to ``name_samples`` here, or to
``recorded_settings`` or ``recorded_answers``, and run
``PYTHONPATH=.:platform .venv/bin/python -m features.support.recorded_names``:
it records what is not there yet.
"""

from features.support import (
    recorded,
    recorded_answers,
    recorded_logs,
    recorded_settings,
    recorded_state,
    recorded_words,
)

Sample = recorded.Sample


def name_samples() -> list[Sample]:
    """Return the samples of names in logs, metrics, answers and registries."""
    return [
        *recorded.grown_table("events", recorded_logs.event_rows, 12),
        *recorded.grown_table("log-fields", recorded_logs.line_fields, 12),
        Sample(
            "log-lines.jsonl",
            "lines",
            None,
            recorded_logs.log_lines,
            look=recorded_logs.lines_of,
        ),
        *recorded.grown_table("metrics", recorded_words.metric_rows, 5),
        *recorded.grown_table("gateway-state", recorded_state.gateway_dump, 4),
        recorded.table("entry-state", recorded_state.entry_dump),
        *recorded.grown_table("words", recorded_words.word_lists, 4),
        recorded.table("headers", recorded_words.header_names),
        recorded.table("dialects", recorded_words.dialects),
        recorded.table("registries", recorded_words.registered),
    ]


def all_samples() -> list[Sample]:
    """Return every sample of this module."""
    return [
        *recorded_settings.settings_samples(),
        *name_samples(),
        *recorded_answers.answer_samples(),
    ]


def main() -> None:
    """Record what is not there yet."""
    recorded.record_missing(all_samples())


if __name__ == "__main__":
    main()
