# Shortcuts for CMake. Every target installs and builds what it needs.
BUILD ?= build
JOBS ?= $(shell nproc)
CMAKE_FLAGS ?=

.PHONY: all deps build run test soak bench lint format tables clean

all: build

deps:
	@scripts/install-deps.sh

build: deps
	@cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS) > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

run: build
	@BUILD=$(BUILD) KEEP=$(KEEP) scripts/run-demo.sh

# Passes over the tests that KNOWN-RED.txt lists as `Test: ctest NAME`.
test: build
	@known_red=$$(scripts/known-red.sh) && cd $(BUILD) && \
	  ctest --output-on-failure -j 4 -E "$$known_red"

# SEEDS (number of seeds), FIRST (first seed) and SECONDS (duration of a seed)
# select the run; see tests/soak_gateway.cc.
soak: build
	@SOAK_SEEDS=$(or $(SEEDS),50) SOAK_FIRST=$(or $(FIRST),1) \
	  SOAK_SECONDS=$(or $(SECONDS),5) $(BUILD)/soak

bench: build
	@BUILD=$(BUILD) scripts/bench.sh

lint: build
	@BUILD=$(BUILD) JOBS=$(JOBS) scripts/lint.sh

tables:
	@scripts/write-tables.py
	@scripts/embed-chart.sh

format:
	@git ls-files '*.h' '*.cc' | xargs clang-format -i

clean:
	@rm -rf $(BUILD)
