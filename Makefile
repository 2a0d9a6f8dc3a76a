# The tasks of this project. `make build` first; the rest uses the environment it makes.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: build test lint run try

build: .venv/.built

.venv/.built: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip -q install -r requirements.txt -r requirements-dev.txt
	touch $@

lint: build
	$(BIN)/ruff check .
	$(BIN)/mypy

test: build
	$(BIN)/pytest

# One scheduler with the example's configuration; it wants the toy server of `make try` beside it.
run: build
	LB_CONFIG=example/config.json $(BIN)/python -m canvasbeam

# The toy server: discovery and three workers on loopback addresses.
try: build
	$(BIN)/python example/toy_server.py
