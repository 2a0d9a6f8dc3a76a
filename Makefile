# The tasks of this project. `make build` first; the rest uses the environment it makes.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: build demo test lint run try theory

build: .venv/.built

.venv/.built: requirements.txt requirements-dev.txt requirements-lab.txt
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip -q install -r requirements.txt -r requirements-dev.txt -r requirements-lab.txt
	touch $@

# Everything at once: 4 schedulers and 12 workers for 30 s, a quarter of the workers dies, a report is drawn.
demo: build
	$(BIN)/python -m canvasbeam demo

lint: build
	$(BIN)/ruff check .
	$(BIN)/mypy

test: lint
	$(BIN)/pytest

# One scheduler with the example's configuration; it wants the emulated workers of `make try` beside it.
run: build
	LB_CONFIG=example/config.json $(BIN)/python -m canvasbeam

# Emulated workers and discovery on loopback, until Ctrl-C.
try: build
	$(BIN)/python -m canvasbeam emulate

# The emulated worker against queueing theory, two million jobs a case; about five minutes.
theory: build
	$(BIN)/python bench/theory.py --jobs 2000000
