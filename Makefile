PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
export PYTHONPATH = src:.

.PHONY: demo test check setup format measure measure-path measure-capacity prove

$(VENV)/installed: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	touch $@

setup: $(VENV)/installed

demo: setup
	$(BIN)/python -m experiments.demo

test: setup
	$(BIN)/python -m pytest

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy src stand_ins experiments
	$(BIN)/python -m tests.generated

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

measure: setup
	$(BIN)/python -m experiments.baselines
