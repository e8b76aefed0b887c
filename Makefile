VENV ?= .venv
PYTHON ?= python3
PY = PYTHONPATH=src $(VENV)/bin/python
SEED ?= 1
MINUTES ?= 1
COUNT ?= 50
PLAN ?= faults

.PHONY: demo fault-soak test lint format type behave bench soak proof binary clean capacity

$(VENV)/ready: requirements.lock
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

demo: $(VENV)/ready
	$(PY) scripts/demo.py

test: lint type behave

lint: $(VENV)/ready
	$(PY) -m black --quiet --check src tests scripts .ci
	$(PY) -m ruff check --quiet src tests scripts .ci

format: $(VENV)/ready
	$(PY) -m ruff check --quiet --fix src tests scripts .ci
	$(PY) -m black --quiet src tests scripts .ci

type: $(VENV)/ready
	$(PY) -m mypy

behave: $(VENV)/ready
	mkdir -p build
	rm -f build/behave.json
	$(PY) -m behave --no-summary --format json.pretty --outfile build/behave.json --format progress tests || true
	$(PY) .ci/report.py build/behave.json KNOWN-RED.txt

soak: $(VENV)/ready
	$(PY) -m galenavane.soak --seed $(SEED) --minutes $(MINUTES)

fault-soak: $(VENV)/ready
	PYTHONPATH=src:tests $(VENV)/bin/python -m fault_soak --count $(COUNT) --plan $(PLAN)

proof: $(VENV)/ready
	$(PY) -m galenavane.proof

bench: $(VENV)/ready
	$(PY) -m galenavane.experiment.relay
	$(PY) -m galenavane.experiment.bench

binary: $(VENV)/ready
	mkdir -p build
	$(PY) -m shiv --quiet --compressed --console-script galenavane --output-file build/galenavane --no-deps . --requirement requirements-run.lock

clean:
	rm -rf build

capacity: $(VENV)/ready
	$(PY) scripts/measure_control.py
