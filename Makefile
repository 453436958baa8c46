PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo check test soak lint bench report gen clean

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: $(VENV)/ready
	$(BIN)/comfreywharf-demo

# Formatter, linter and the tests without processes, within a minute.
check: lint
	$(BIN)/pytest -n 6 --dist loadfile -m "not processes"

# All tests. Those that start processes run sequentially, so that the nodes of one
# test don't take the processor from those of another.
test: lint
	$(BIN)/pytest -n 4 --dist loadfile -m "not processes"
	$(BIN)/pytest -m processes

# Runs with random faults, one for each seed.
SEEDS ?= 1-50

soak: $(VENV)/ready
	$(BIN)/python -m comfreywharf_dev.soak --seeds $(SEEDS)

lint: $(VENV)/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

bench: $(VENV)/ready
	$(BIN)/python -m comfreywharf_dev.bench $(NAMES)

report: $(VENV)/ready
	-$(BIN)/python -m comfreywharf_dev.bench $(NAMES)
	$(BIN)/python -m comfreywharf_dev.bench.report

gen:
	thrift --gen py:slots -out . idl/comfreywharf.thrift
	rm -f comfreywharf/transport/gen/Node-remote __init__.py

clean:
	rm -rf $(VENV) build *.egg-info
