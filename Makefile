PYTHON = $(shell .ci/venv)/bin/python

.PHONY: demo test fuzz lint format bench soak soak-platform

demo:
	$(PYTHON) -m demo

test:
	$(PYTHON) -m pytest

# Seeds FIRST to LAST-1 of the consensus simulation; about half a second each.
FIRST ?= 0
LAST ?= 2000
fuzz:
	$(PYTHON) -m tests.simulation $(FIRST) $(LAST)

# Random faults against real processes for SECONDS, by SEED.
SEED ?= 1
SECONDS ?= 60
soak:
	$(PYTHON) -m tests.soak $(SEED) $(SECONDS) ""

# The same against gateways, keepers and stores: seeds FIRST to LAST-1.
soak-platform:
	$(PYTHON) -m tests.soakplatform $(FIRST) $(LAST) $(SECONDS)

lint:
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy
	MYPYPATH=platform $(PYTHON) -m mypy --strict platform/*.py

format:
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

# Each part in a process of its own: make -j4 bench
BENCHES = ruegg-loads ruegg-faults kunci-loads kunci-faults

bench: $(BENCHES:%=bench-%)

bench-%:
	$(PYTHON) -m bench --users $(word 1,$(subst -, ,$*)) \
		--part $(word 2,$(subst -, ,$*))
