# Commands for people and for CI. The build itself is in CMakeLists.txt.
SHELL := /bin/bash
PRESET ?= release
BUILD := build/$(PRESET)
JOBS ?= $(shell nproc)
SOURCES = $(shell git ls-files '*.cpp' '*.h' '*.inl' | grep -v '_generated\.h$$')

.PHONY: all setup configure build test demo format format-check lint clean

all: build

# Installs what is missing.
setup:
	@scripts/setup

configure: setup
	@cmake --preset $(PRESET) > /dev/null

build: configure
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@scripts/run-tests $(BUILD)

# Needs fewer programs than the tests.
demo: configure
	@cmake --build $(BUILD) -j $(JOBS) --target berylspring-demo
	@$(BUILD)/tests/berylspring-demo

format:
	@clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run --Werror $(SOURCES)

lint: configure
	@scripts/lint $(BUILD) $(JOBS)

clean:
	rm -rf build
