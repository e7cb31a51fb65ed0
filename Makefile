PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
# Compiled libraries fit one processor architecture and one Python version.
KIND := $(shell $(PYTHON) -c "import platform, sys; \
	print(platform.machine(), *sys.version_info[:3], sep='-')")
STAMP := $(VENV)/.requirements-$(KIND)

.PHONY: demo test lint unit fuzz soak bench capacity format generate

SEED ?= 1
SEEDS ?= 1
SECONDS ?= 20
SIZE ?= 7
# Guard of the forwarders that the soak switches off; it must fail then.
WITHOUT ?=
# Only kind of fault that the soak injects; all kinds if it is empty.
FAULT ?=

$(STAMP): requirements.txt requirements-dev.txt constraints.txt
	test -e $@ -a -x $(BIN)/python || $(PYTHON) -m venv --clear $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		-r requirements-dev.txt -c constraints.txt
	touch $@

test: lint unit

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 acaciamoor deploy platform tools

unit: $(STAMP)
	$(BIN)/python -m tools.run_tests

fuzz: $(STAMP)
	ACACIAMOOR_FUZZ_PROFILE=long $(BIN)/python -m tools.run_tests --pattern 'test_fuzz*.py'

soak: $(STAMP)
	PYTHONPATH=.:platform $(BIN)/python -m acaciamoor_site.soak \
		--seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) --size $(SIZE) \
		$(if $(WITHOUT),--without $(WITHOUT)) $(if $(FAULT),--fault $(FAULT))

demo: $(STAMP)
	$(BIN)/python -m acaciamoor.demo

bench: $(STAMP)
	$(BIN)/python -m acaciamoor.load --output build/bench.json

capacity: $(STAMP)
	$(BIN)/python -m acaciamoor.load.capacity --output build/capacity.json

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: $(STAMP)
	$(BIN)/python -m tools.generate
