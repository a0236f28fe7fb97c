PY := .venv/bin/python
BIN := .venv/bin/briarfall
SEED ?= 1
SECONDS ?= 30
# Number of processes that run scenarios or tests side by side.
WORKERS ?= 4
BEHAVE := .venv/bin/behave --no-capture --logging-level=ERROR --format progress2

.PHONY: demo test crowds lint known-red bench soak fault-soak

.venv/.ready: pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install -q --disable-pip-version-check -e '.[dev]'
	touch $@

demo: .venv/.ready
	$(BIN) demo

test: .venv/.ready
	ls features/*.feature | xargs -P $(WORKERS) -n 1 $(BEHAVE) --tags='not @known_red'
	$(PY) -m pytest -n $(WORKERS) -m 'not known_red and not crowd'
	$(MAKE) crowds

# Crowds of clients, one test at a time.
crowds: .venv/.ready
	$(PY) -m pytest -p no:xdist -m 'crowd and not known_red' tests/crowds

lint: .venv/.ready
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .

known-red: .venv/.ready
	-$(PY) -m pytest -m known_red
	-.venv/bin/behave --tags=known_red features

bench-relay: .venv/.ready
	scripts/bench-relay.sh --out docs/bench/relay.json

bench: .venv/.ready
	$(BIN) bench all

soak: .venv/.ready
	$(BIN) bench soak --seed $(SEED) --seconds $(SECONDS)

fault-soak: .venv/.ready
	$(BIN) bench fault-soak --seed $(SEED) --seconds $(SECONDS)
