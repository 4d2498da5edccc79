PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: test demo install lint format binary check-syscalls

$(BIN)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]' 2>&1 | grep -v 'is ignored' || true
	$(BIN)/python -c 'import aiohttp, capnp, mode, pytest'
	touch $@

install: $(BIN)/.installed

test: $(BIN)/.installed
	$(BIN)/python -m pytest

# Runs both example deployments on loopback addresses 127.10 to 127.30 and checks promises.
demo: $(BIN)/.installed
	PYTHON=$(BIN)/python tools/demo.sh

lint: $(BIN)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check --no-cache .

format: $(BIN)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --no-cache --fix .
