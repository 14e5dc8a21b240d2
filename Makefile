# Development tasks. Every target except help sets up the virtual environment first.
SHELL := /bin/bash
VENV ?= .venv
PY := $(VENV)/bin/python
LIBS := $(wildcard libs/*) platform platform/emulator
empty :=
space := $(empty) $(empty)
SRC := $(subst $(space),:,$(patsubst %,$(CURDIR)/%/src,$(LIBS)))
TESTS := $(subst $(space),:,$(patsubst %,$(CURDIR)/%/tests,$(LIBS)))
export PYTHONPATH := $(SRC)
export PYTHONWARNINGS := ignore::DeprecationWarning:eventlet
SECONDS ?= 60
LIB ?=

.PHONY: help setup test test-one lint format types schema demo demo-platform serve tool check-configuration faults random-faults measure slopes soak replay backlog crowds

help:  ## List the targets.
	@grep -E '^[a-z-]+:.*##' Makefile | sed -E 's/:.*## /\t/'

$(VENV)/.ready: requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements-dev.txt
	touch $@

setup: $(VENV)/.ready  ## Create the virtual environment with the pinned libraries.

test: setup  ## Run all tests.
	$(PY) tools/run_tests.py $(LIBS)

test-one: setup  ## Run the tests of one library: make test-one LIB=libs/view
	$(PY) tools/run_tests.py $(LIB)

lint: setup  ## Check formatting and lint rules.
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup  ## Format the code and sort the imports.
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

types: setup  ## Check the types.
	MYPYPATH=$(SRC) $(PY) -m mypy $(foreach l,$(LIBS),-p hornbeamfold.$(notdir $(l)))

schema: setup  ## Generate the protobuf and grpclib code from the schema.
	$(PY) -m grpc_tools.protoc -Ilibs/rpc/src --python_out=libs/rpc/src --pyi_out=libs/rpc/src \
	  --plugin=protoc-gen-grpclib_python=$(VENV)/bin/protoc-gen-grpclib_python \
	  --grpclib_python_out=libs/rpc/src libs/rpc/src/hornbeamfold/rpc/v1.proto

demo: setup  ## Start stand-ins and 8 instances, run sample work and print the results.
	$(PY) -m hornbeamfold.bench.demo

demo-platform: setup  ## Run 3 instances on an emulator of the users' platform and kill the coordinator.
	$(PY) -m hornbeamfold.emulator.demo

serve: setup  ## Run a sample deployment until interrupted: make serve [FIRM=highwater]
	$(PY) -m hornbeamfold.bench.serve $(or $(FIRM),rampes)

tool: setup  ## Run the command-line tool: make tool ARGS="instances"
	$(PY) -m hornbeamfold.cli $(ARGS)

check-configuration: setup  ## Check a configuration of the platform: make check-configuration FILE=f [ARGS="--against g"]
	$(PY) -m hornbeamfold.platform.check $(FILE) $(ARGS)

faults: setup  ## Run the fault matrix: make faults [ROW="zone out"] [STEP=draining] [OUTPUT=json]
	$(PY) -m hornbeamfold.bench.faults $(if $(ROW),--row "$(ROW)") $(if $(STEP),--step "$(STEP)") \
	  $(if $(OUTPUT),--output $(OUTPUT))

measure: setup  ## Compare the policy with the baseline; prints JSON.
	@$(PY) -m hornbeamfold.bench.measure

slopes: setup  ## Measure the cost slopes of docs/CAPACITY.md: make slopes [WRITE=1]
	$(PY) -m hornbeamfold.bench.slopes $(if $(WRITE),--write)

random-faults: setup  ## Run random rows of the fault matrix: make random-faults SECONDS=300 [SEED=n]
	$(PY) -m hornbeamfold.bench.random_faults --seconds $(SECONDS) $(if $(SEED),--seed $(SEED))

replay: setup  ## Replay a recorded burst against the planner.
	@$(PY) libs/coordinator/tests/load_replay.py $(or $(NAME),large-burst.json)

backlog: setup  ## Measure planning passes and memory with many overdue occurrences, steps and jobs.
	@$(PY) libs/coordinator/tests/backlog.py

crowds: setup  ## Play crowds of misbehaving clients: make crowds [CONNECTIONS=400] [MEMORY_MB=160]
	@$(PY) platform/tests/alone/play_crowds.py $(or $(CONNECTIONS),400) $(or $(MEMORY_MB),160)

soak: setup  ## Run a soak test with faults on the emulated platform: make soak SECONDS=60 [SEED=n] [INSTANCES=n] [WORKERS=n] [NEWER=1] [CUTS=1]
	$(PY) -m hornbeamfold.soak --seconds $(SECONDS) --logs target/soak $(if $(SEED),--seed $(SEED)) \
	  $(if $(INSTANCES),--instances $(INSTANCES)) $(if $(WORKERS),--workers $(WORKERS)) \
	  $(if $(NEWER),--newer) $(if $(CUTS),--cuts)
