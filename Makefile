# Targets create the virtual environment on demand.
VENV ?= .venv
PYTHON ?= python3
SEED ?= 1
BENCH := libs/bench/experiments
SECONDS ?= 280
COUNT ?= 1
SOAK_SECONDS ?= 20
KIT ?= ../given/kit/more/system
DAYS ?=
WORKERS ?= 4
BIN := $(VENV)/bin
LIBS := $(wildcard libs/*)
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach lib,$(LIBS),$(CURDIR)/$(lib)/src)):$(CURDIR)/platform
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: run up soak platform-build platform-check chaos matrix mutations explore golden bench bench-quick capacity \
	test lint format clean

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(foreach lib,$(LIBS),-e ./$(lib))
	touch $@

run: $(VENV)/.installed
	$(BIN)/python -m lagoontally_standins run --seed $(SEED)

up: $(VENV)/.installed
	$(BIN)/python -m lagoontally_standins up --seed $(SEED)

soak: $(VENV)/.installed
	$(BIN)/python -m lagoontally_soak --seed $(SEED) --count $(COUNT) --seconds $(SOAK_SECONDS)

platform-build:
	$(PYTHON) deploy/build.py

platform-check: platform-build
	$(PYTHON) deploy/check.py $(KIT) $(DAYS)

chaos: $(VENV)/.installed
	$(BIN)/python -m lagoontally_standins chaos --seed $(SEED) --seconds $(SECONDS)

matrix: $(VENV)/.installed
	$(BIN)/python -m lagoontally_bench matrix --seed $(SEED) --workers $(WORKERS)

mutations: $(VENV)/.installed
	$(BIN)/python -m lagoontally_bench mutations --seed $(SEED) --workers $(WORKERS)

explore: $(VENV)/.installed
	$(BIN)/python -m lagoontally_bench explore

golden: $(VENV)/.installed
	$(BIN)/python -m lagoontally_bench golden

bench: $(VENV)/.installed
	$(BIN)/python -m lagoontally_bench bench --plots docs/plots $(BENCH)/choice.json $(BENCH)/conditions.json $(BENCH)/scope.json $(BENCH)/shed.json $(BENCH)/built.json $(BENCH)/storm.json $(BENCH)/outage.json

bench-quick: $(VENV)/.installed
	$(BIN)/python -m lagoontally_bench bench $(BENCH)/quick.json

capacity: $(VENV)/.installed
	$(BIN)/python -m lagoontally_bench capacity

test: $(VENV)/.installed
	$(BIN)/python tests/run_features.py

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) .out
