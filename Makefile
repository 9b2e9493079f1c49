# Two commands do everything on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
PY := .venv/bin/python

.PHONY: demo test format docs soak clean

.venv/ready: requirements.txt
	$(PYTHON) -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $@

demo: .venv/ready
	$(PY) -m spindlenotch demo

test: .venv/ready
	$(PY) tools/run_tests.py

format: .venv/ready
	.venv/bin/ruff format .
	.venv/bin/ruff check --fix .

clean:
	rm -rf .venv .mypy_cache .ruff_cache .hypothesis .import_linter_cache
