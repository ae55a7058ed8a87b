# `make demo` plays the bad day, `make test` runs ruff, mypy and all tests (several files side by side); each does its own set-up.
PY = .venv/bin/python
.PHONY: demo test setup

setup: .venv/ready

.venv/ready: requirements.txt requirements-test.txt pyproject.toml
	test -f .venv/built || python3 -m venv --clear .venv
	$(PY) -m pip -q install --disable-pip-version-check -r requirements.txt -r requirements-test.txt
	$(PY) -m pip -q install --disable-pip-version-check --no-deps -e .
	cp requirements.txt .venv/built
	touch .venv/ready

demo: .venv/ready
	.venv/bin/petrelwood day bad

test: .venv/ready
	$(PY) -m ruff check .
	$(PY) -m ruff format --check .
	$(PY) tests/finished.py
	$(PY) tests/run_tests.py
