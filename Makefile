# Two commands do all the set-up on a fresh machine with Python 3.11 and a package index.
VENV := .venv-dev
PYTHON := $(VENV)/bin/python

.PHONY: rehearse test run prove sites clean

rehearse: $(VENV)/built
	$(PYTHON) -m rainhitch rehearse lunch

test: $(VENV)/built
	$(PYTHON) -m pytest

prove: $(VENV)/built
	$(PYTHON) -m rainhitch rehearse --prove

run: $(VENV)/built
	$(PYTHON) -m rainhitch

# The bench's own files stand beside each site that it plays: KIT names the folder that has them.
sites:
	for site in deploy/sites/*/; do cp -f $(KIT)/real.json $(KIT)/wire.json $(KIT)/unlock.txt $$site; done

# Made last, so that a half-built or outdated environment is built anew.
$(VENV)/built: requirements.txt requirements-dev.txt
	rm -rf $(VENV)
	python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install --disable-pip-version-check -r requirements-dev.txt
	touch $@

clean:
	rm -rf $(VENV)
