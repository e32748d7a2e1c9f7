PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed-$(shell cksum requirements.lock | cut -d' ' -f1)

.PHONY: setup format lint test check demo binary clean

setup: $(STAMP)

$(STAMP): requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	touch $(STAMP)

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: setup
	$(BIN)/python -m tests

check: lint test

demo: setup
	$(BIN)/python -m bench.demo

binary: setup
	$(BIN)/python -m bench.binary

clean:
	rm -rf build dist *.egg-info
