PYTHON = $(shell .ci/venv)/bin/python

.PHONY: demo test fuzz fuzz-decoders fuzz-live lint format bench experiment soak soak-platform

demo:
	$(PYTHON) -m demo

test:
	$(PYTHON) -m pytest

# Seeds FIRST to LAST-1 of the decoders and of the consensus simulation; about
# half a second each.
FIRST ?= 0
LAST ?= 2000
fuzz: fuzz-decoders
	$(PYTHON) -m tests.simulation $(FIRST) $(LAST)

# What other programs may write: each seed draws input for every decoder, or
# plays it for SECONDS against a deployment that serves turns meanwhile.
fuzz-decoders:
	$(PYTHON) -m tests.drawndecoders $(FIRST) $(LAST)
	$(PYTHON) -m tests.fuzzpeers $(FIRST) $(LAST)

fuzz-live:
	$(PYTHON) -m tests.drawnlive $(FIRST) $(LAST) $(SECONDS)

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
	$(PYTHON) -m mypy deploy/build.py

format:
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

# What gateways decide, in a model of what they serve: the scenarios that ship
# with it, and CASES deployments drawn by lot from seed FIRST on; reports use
# seeds from 1,000 on. Six processes; figures lie under out/deciding.
CASES ?= 36
COUNT ?= 6
SCENARIOS = $(notdir $(basename $(wildcard bench/deciding/scenarios/*.toml)))
PARTS = 0 1 2 3 4 5

experiment: FIRST = 1000
experiment:
	$(MAKE) -j6 $(SCENARIOS:%=experiment-play-%) \
		$(PARTS:%=experiment-drawn-%) FIRST=$(FIRST)
	$(PYTHON) -m bench.deciding report --first $(FIRST)
	$(PYTHON) -m bench.deciding plot

experiment-play-%:
	$(PYTHON) -m bench.deciding play bench/deciding/scenarios/$*.toml \
		--count $(COUNT) --first $(FIRST)

experiment-drawn-%:
	$(PYTHON) -m bench.deciding drawn --cases $(CASES) --first $(FIRST) \
		--part $* --parts $(words $(PARTS))

# Each part in a process of its own: make -j4 bench
BENCHES = ruegg-loads ruegg-faults kunci-loads kunci-faults

bench: $(BENCHES:%=bench-%)

bench-%:
	$(PYTHON) -m bench --users $(word 1,$(subst -, ,$*)) \
		--part $(word 2,$(subst -, ,$*))
