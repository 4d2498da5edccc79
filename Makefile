PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
# Interpreter in the shebang line of the binary, with which the instances run. It is an absolute
# path, because /usr/bin/env would cause a second execve.
INTERPRETER ?= $(shell $(BIN)/python -c 'import os, sys; print(os.path.realpath(sys.executable))')
# Directory in a memory file system into which the binary unpacks itself unless SHIV_ROOT is set.
UNPACK_ROOT ?= /dev/shm/mimosapost

.PHONY: test doctest demo install lint format reference-check binary check-syscalls

$(BIN)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]' 2>&1 | grep -v 'is ignored' || true
	$(BIN)/python -c 'import aiohttp, capnp, mode, pytest'
	touch $@

install: $(BIN)/.installed

test: $(BIN)/.installed
	$(BIN)/python tools/known_red.py

# Runs both example deployments on loopback addresses 127.10 to 127.30 and checks what the tier
# guarantees. Then runs three instances of mimosapost.platform between stand-ins for 6 seconds
# while faults are injected.
demo: $(BIN)/.installed
	PYTHON=$(BIN)/python tools/demo.sh
	$(BIN)/python -m mimosapost.platform.tests.soak --seeds 1 --seconds 6

lint: $(BIN)/.installed
	$(BIN)/ruff format --no-cache --check .
	$(BIN)/ruff check --no-cache .

format: $(BIN)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --no-cache --fix .

doctest: $(BIN)/.installed
	$(BIN)/python -m pytest --doctest-modules --ignore-glob='*/tests/*' mimosapost

reference-check: $(BIN)/.installed
	$(BIN)/python -m mimosapost reference --check

# The constraints pin the versions that the tests ran with. build/ is removed first, because code of
# an earlier build in build/lib would be packed again.
binary: $(BIN)/.installed
	rm -rf build dist/site dist/mimosapost
	mkdir -p dist
	$(BIN)/pip freeze --exclude-editable --disable-pip-version-check >dist/constraints.txt
	$(BIN)/pip install -qq --disable-pip-version-check --no-compile --target dist/site \
		--constraint dist/constraints.txt .
	$(BIN)/shiv --compressed --reproducible --console-script mimosapost \
		--python '$(INTERPRETER) -IB' --root $(UNPACK_ROOT) \
		--site-packages dist/site --output-file dist/mimosapost
	rm -rf build dist/site dist/constraints.txt

check-syscalls: binary
	PYTHON=$(BIN)/python tools/check_syscalls.sh dist/mimosapost
