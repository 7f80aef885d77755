# Two commands on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= saddlebrook
SEEDS ?=
SOURCES := $(shell find kingcuplever -name '*.py')

.PHONY: setup demo test format binary bench capacity soak generate clean

setup: $(VENV)/ready

$(VENV)/ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    -r requirements.txt -r requirements-dev.txt
	touch $@

binary: dist/kingcuplever

dist/kingcuplever: $(VENV)/ready tools/build_binary.py $(SOURCES)
	$(BIN)/python -m tools.build_binary --output dist/kingcuplever

demo: setup binary
	$(BIN)/python -m standins.demo --deployment $(DEPLOYMENT)

test: setup binary
	$(BIN)/black --quiet --check .
	$(BIN)/flake8
	$(BIN)/mypy
	$(BIN)/python -m pytest

format: setup
	$(BIN)/black --quiet .

bench: setup binary
	$(BIN)/python -m bench

capacity: setup binary
	$(BIN)/python -m bench.capacity

soak: setup
	$(BIN)/python -m soak --seeds "$(SEEDS)"

# Needs the distribution's thrift-compiler; the result is committed.
generate:
	thrift -r --gen py:package_prefix=kingcuplever.gen.,enum \
	    -out kingcuplever/gen kingcuplever/peer.thrift

clean:
	rm -rf build dist target $(VENV) .mypy_cache
