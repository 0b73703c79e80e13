# make demo, make test: each does all set-up by itself.
BUILD ?= build
SANITIZE ?=
JOBS ?= $(shell nproc)
PYTHON ?= /usr/bin/python3

.PHONY: all setup build test demo format format-check lint clean

all: build

setup:
	tools/setup.sh

build: setup
	cmake -S . -B $(BUILD) -DSAS_SANITIZE=$(SANITIZE) >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	tools/run_tests.sh $(BUILD)

demo: build
	$(PYTHON) tools/demo.py --build $(BUILD)

format:
	tools/format.sh --fix

format-check:
	tools/format.sh

lint: build
	tools/lint.sh $(BUILD)

clean:
	rm -rf build build-asan
