# `make run` starts a first try, `make test` checks everything.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: run test lint fuzz bench soak docs lock clean

run: $(READY)
	$(BIN)/python examples/first_try.py

test: $(READY)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/behave --format progress3 --no-capture features
	$(BIN)/pytest

lint: $(READY)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

fuzz: $(READY)
	$(BIN)/python -m benchmarks.fuzz

bench: $(READY)
	$(BIN)/python -m benchmarks.decisions

SEED ?= 1
SEEDS ?= 1
SECONDS_LIMIT ?= 20
# --calm for planned work only.
SOAK_OPTIONS ?=

soak: $(READY)
	$(BIN)/python -m soak --seed $(SEED) --seeds $(SEEDS) \
		--seconds-limit $(SECONDS_LIMIT) $(SOAK_OPTIONS)

docs: $(READY)
	$(BIN)/mkdocs build --strict

# Only maintainers need this: it resolves the lock file anew.
lock:
	$(BIN)/pip install uv
	$(BIN)/uv pip compile pyproject.toml --extra dev --generate-hashes \
		--no-annotate --no-header --output-file requirements.lock

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(READY)

clean:
	rm -rf $(VENV) data site
