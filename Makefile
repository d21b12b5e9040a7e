PYTHON = $(shell .ci/venv)/bin/python

.PHONY: demo test lint format bench

demo:
	$(PYTHON) -m demo

test:
	$(PYTHON) -m pytest

lint:
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy

format:
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

bench:
	$(PYTHON) -m bench
