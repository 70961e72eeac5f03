PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

EXPERIMENT ?= docs/experiments/baseline.toml
EXPERIMENT_OUTPUT ?= docs/experiments
EXPERIMENT_PARTS ?= 4
PART_NUMBERS := $(shell seq $(EXPERIMENT_PARTS))
PART_TARGETS := $(addprefix experiment-part-,$(PART_NUMBERS))

.PHONY: demo test check lock clean experiment $(PART_TARGETS)

$(VENV)/installed: pyproject.toml requirements/lock.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements/lock.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

demo: $(VENV)/installed
	$(BIN)/beamloom demo

test: check
	$(BIN)/python -m tests.run

check: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

experiment: $(VENV)/installed
	rm -f $(EXPERIMENT_OUTPUT)/part-*.jsonl
	$(MAKE) --jobs=$(EXPERIMENT_PARTS) $(PART_TARGETS)
	$(BIN)/beamloom experiment $(EXPERIMENT) --output $(EXPERIMENT_OUTPUT) --join

$(PART_TARGETS): experiment-part-%: $(VENV)/installed
	$(BIN)/beamloom experiment $(EXPERIMENT) --output $(EXPERIMENT_OUTPUT) \
	  --part $*/$(EXPERIMENT_PARTS)

lock: $(VENV)/installed
	$(BIN)/pip-compile --quiet --extra development --strip-extras --no-emit-index-url \
	  --no-emit-find-links --no-emit-trusted-host --no-header --no-annotate \
	  --output-file requirements/lock.txt pyproject.toml

clean:
	rm -rf $(VENV)
