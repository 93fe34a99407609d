# Shortcuts for CMake and the scripts of the project. `make help` lists the targets.
.PHONY: all build test demo bench capacity format lint thrift clean help packages

MESH ?= bluebonnet
JOBS ?= $(shell nproc)

all: build

packages: ## install missing Debian packages
	@src/build-scripts/install-packages.bash

build: packages ## build everything with optimisation
	@cmake --preset release >/dev/null
	@cmake --build --preset release -j $(JOBS)

test: packages ## run format check, lint, deploy check, unit tests, whole-program cases and sanitizers
	@src/build-scripts/run-tests.bash

demo: build ## run a whole mesh on loopback; MESH=bluebonnet or MESH=volta
	@python3 testsuite/demo/run.py --build build/release --mesh $(MESH)

bench: build ## run benchmarks and experiments and check their bounds
	@python3 src/bench/run.py --build build/release

capacity: build ## measure capacity slopes and write docs/capacity
	@python3 src/bench/capacity.py --build build/release

format: ## format the sources in place
	@git ls-files --cached --others --exclude-standard -- 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | grep -v '/gen-cpp/' | xargs clang-format -i

lint: build ## run clang-tidy
	@src/build-scripts/check-lint.bash

thrift: ## regenerate the committed Thrift code (needs thrift-compiler)
	@cd src/thrift && for file in wire mesh; do thrift --gen cpp:no_skeleton,moveable_types $$file.thrift && rm -f gen-cpp/$${file}_constants.*; done

clean: ## remove the build folder
	@rm -rf build

help: ## list the targets
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*## /\t/' | expand -t 12
