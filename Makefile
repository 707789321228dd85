# Two commands do all set-up on a fresh machine: make demo, make test.
PY := .venv/bin/python
PACKAGES := core client gateway router ctl standins bench
SOURCES := packages platform tests
STAMP := .venv/.installed

.PHONY: demo test lint format bench fleet

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip install -q --disable-pip-version-check -r requirements.txt
	$(PY) -m pip install -q --disable-pip-version-check --no-build-isolation --no-deps \
		$(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
	touch $@

demo: $(STAMP)
	$(PY) -m tamarack_bench.demo $(ARGS)

fleet: $(STAMP)
	@$(PY) -m tamarack_standins.fleet $(ARGS)

test: lint
	@test ! -s KNOWN-RED.txt || { echo "known red:"; cat KNOWN-RED.txt; }
	$(PY) -m pytest $(ARGS)

lint: $(STAMP)
	$(PY) -m ruff format --check $(SOURCES)
	$(PY) -m ruff check $(SOURCES)
	$(PY) -m mypy packages/core/src packages/router/src packages/client/src packages/ctl/src \
		packages/standins/src packages/bench/src \
		packages/gateway/src platform/src
	$(PY) -m tamarack_bench.lengths packages platform

format: $(STAMP)
	$(PY) -m ruff format $(SOURCES)
	$(PY) -m ruff check --fix $(SOURCES)

bench: $(STAMP)
	$(PY) -m tamarack_bench run all $(ARGS)
