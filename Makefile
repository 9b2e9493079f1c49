# Two commands do everything on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
PY := .venv/bin/python

.PHONY: demo test format docs soak soak-processes mutants days experiment measure-path measure-capacity clean

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

# Play the mixed-fault machine with a fresh seed for so many seconds.
SECONDS ?= 300
soak: .venv/ready
	$(PY) -m tools.soak $(SECONDS)

# Play faults from outside on real gateways: make soak-processes SECONDS=60 SEED=7
SEED ?=
soak-processes: .venv/ready
	$(PY) -m tools.soak_processes --seconds $(SECONDS) $(if $(SEED),--seed $(SEED))

# Break each mechanism in a scratch copy; the machines must go red.
mutants: .venv/ready
	$(PY) -m tools.mutants

# The pages that are made from the code.
docs: .venv/ready
	$(PY) -m tools.make_docs

measure-path: .venv/ready
	$(PY) -m tools.measure_path

measure-capacity: .venv/ready
	$(PY) -m tools.measure_capacity

# Play the own days with the users' bench: make days BENCH=PROGRAM SITES="A.toml B.toml"
days: .venv/ready
	$(PY) -m tools.play_days $(BENCH) $(SITES)

# Compare variants by the users' bench: make experiment PLAN=P.toml BENCH=PROGRAM FOLDER=DIR PAGE=P.md
experiment: .venv/ready
	$(PY) -m tools.experiment $(PLAN) --bench $(BENCH) --folder $(FOLDER) --page $(PAGE)

clean:
	rm -rf .venv .mypy_cache .ruff_cache .hypothesis .import_linter_cache
