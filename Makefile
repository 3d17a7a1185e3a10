PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := bronzeglade standins fleet scripts examples
DEPLOYMENT ?= brolga
SEED ?= 1
SECONDS ?= 60

.PHONY: demo fleet test check format soak bench binary

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements-dev.txt
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m scripts.demo

fleet: $(STAMP)
	exec $(BIN)/python -m scripts.fleet --deployment=$(DEPLOYMENT)

test: $(STAMP)
	$(BIN)/python -m pytest

check: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy $(SOURCES)

format: $(STAMP)
	$(BIN)/ruff format $(SOURCES)

soak: $(STAMP)
	$(BIN)/python -m scripts.soak --seed=$(SEED) --seconds=$(SECONDS)

bench: $(STAMP)
	$(BIN)/python -m scripts.bench

binary: $(STAMP)
	$(BIN)/python -m scripts.binary
