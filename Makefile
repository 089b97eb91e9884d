PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test soak fuzz fault-soak lint format bench microbench capacity generate

.venv/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --no-compile --disable-pip-version-check --requirement requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $@

demo: .venv/installed
	$(BIN)/wisteria-demo

test: .venv/installed
	$(BIN)/python -m pytest $(PYTEST_OPTIONS)

# Factor on the number of cases of the randomized tests. Hypothesis runs them
# derandomized, so their seeds are fixed.
SOAK ?= 20
SOAK_TESTS := $(addprefix tests/test_,claims.py consensus.py holder.py placement.py \
	ramp.py route_table.py search.py state_machine.py)

soak: .venv/installed
	@echo "seed: derandomized by hypothesis; cases: $(SOAK) times those of make test"
	WISTERIA_SOAK=$(SOAK) $(BIN)/python -m pytest --timeout 3600 \
		--hypothesis-show-statistics $(SOAK_TESTS)

# Factor on the number of cases of the parsers' fuzz tests, derandomized as above.
FUZZ ?= 200

fuzz: .venv/installed
	WISTERIA_SOAK=$(FUZZ) $(BIN)/python -m pytest --timeout 3600 \
		--hypothesis-show-statistics tests/test_fuzz_parsers.py

# Number of seeds of the fault test of the programs; each seed takes about 12 s.
SEEDS ?= 50

fault-soak: .venv/installed
	$(BIN)/python tests/platform_adapter/fault_soak.py --seeds $(SEEDS) --first 1

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
	$(BIN)/wisteria-load run examples/experiments/*.yaml --out out/bench

microbench: .venv/installed
	for transport in http frames frames-batched grpc-unary grpc-stream; do \
		$(BIN)/python bench/transport.py $$transport || exit 1; done
	$(BIN)/python bench/search.py
	$(BIN)/python bench/upstream.py

capacity: .venv/installed
	$(BIN)/python bench/capacity.py
