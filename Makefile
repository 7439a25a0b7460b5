# make demo | up | soak | lab | test | lint | format | bench | generate

PACKAGES := schema daemon cli caller dev
VENV := .venv
PYTHON := $(VENV)/bin/python
HASH := $(shell cat requirements/dev.txt packages/*/pyproject.toml | sha256sum | cut -c1-16)
READY := $(VENV)/.ready-$(HASH)
empty :=
space := $(empty) $(empty)
# The checkout that `make` runs in goes before whatever the environment has installed.
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p)))

.PHONY: setup demo up soak lab test lint format bench generate

setup: $(READY)

$(READY):
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements/dev.txt
	$(PYTHON) -m pip install --quiet --no-build-isolation --no-deps \
	  --config-settings editable_mode=compat $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

demo: setup
	$(PYTHON) -m cassiaquay_dev.demo $(ARGS)

up: setup
	$(PYTHON) -m cassiaquay_dev.up $(ARGS)

soak: setup
	$(PYTHON) -m cassiaquay_dev.soak.main $(ARGS)

lab: setup
	$(PYTHON) -m cassiaquay_dev.lab $(ARGS)

test: setup
	$(PYTHON) -m pytest -n 8 --dist loadfile -m "not crowd"
	$(PYTHON) -m pytest -m crowd

lint: setup
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m cassiaquay_dev.style.imports packages tests
	$(PYTHON) -m cassiaquay_dev.style.lengths packages
	$(VENV)/bin/lint-imports --no-cache --no-logo
	$(PYTHON) -m mypy $(foreach p,$(PACKAGES),packages/$(p))
	$(PYTHON) -m cassiaquay_schema.generate --check

format: setup
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

bench: setup
	$(PYTHON) -m cassiaquay_dev.trials.bench $(ARGS)

generate: setup
	$(PYTHON) -m cassiaquay_schema.generate
	$(PYTHON) -m cassiaquay_dev.sizing.capacity
