PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test lint format bench capacity generate

.venv/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: .venv/installed
	$(BIN)/wisteria-demo

test: .venv/installed
	$(BIN)/python -m pytest

lint: .venv/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: .venv/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: .venv/installed
	$(BIN)/python tools/generate.py
	$(BIN)/python tools/examples.py
	$(BIN)/python tools/settings_page.py

bench: .venv/installed
	for transport in http frames frames-batched grpc-unary grpc-stream; do \
		$(BIN)/python bench/transport.py $$transport || exit 1; done
	$(BIN)/python bench/search.py

capacity: .venv/installed
	$(BIN)/python bench/capacity.py
