VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: run test bench soak install check-format lint types unit examples clean

run: install
	$(BIN)/python -m oleanderstair.ui demo

test: install check-format lint types unit examples

bench: install
	$(BIN)/python -m bench.gateways
	$(BIN)/python -m bench

SEEDS ?= 1-8
SECONDS ?= 20

soak: install
	$(BIN)/python -m soak --seeds $(SEEDS) --seconds $(SECONDS)

# Installs only when the pinned lists differ from what the venv was made from.
install:
	@test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	@cat requirements.txt requirements-dev.txt | cmp -s - $(VENV)/installed.txt \
	  || { $(BIN)/python -m pip install -q --disable-pip-version-check \
	       -r requirements.txt -r requirements-dev.txt \
	     && cat requirements.txt requirements-dev.txt > $(VENV)/installed.txt; }

check-format:
	$(BIN)/ruff format --check -q oleanderstair test bench soak

lint:
	$(BIN)/flake8 oleanderstair test bench soak

types:
	$(BIN)/mypy

unit:
	timeout 1800 $(BIN)/python -m pytest

examples:
	$(BIN)/python -m oleanderstair.ui settings check examples/*/settings.jsonc
	for notes in examples/*/notes; do \
	  $(BIN)/python -m oleanderstair.ui note check $$notes/*.json || exit 1; done

clean:
	rm -rf $(VENV) build *.egg-info
