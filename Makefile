LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
ENTRIES ?= 3
SEED ?= 1
MINUTES ?= 5
# The tests that KNOWN-RED.txt names, as a pattern; empty when there are none.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')

.PHONY: build format lint test run jobs demo bench failures soak

build:
	go build -o bin/ ./cmd/...

format:
	$(LINT) fmt

lint:
	$(LINT) fmt --diff
	$(LINT) run

test: lint build
	go test -race $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...

run: build
	ENTRIES=$(ENTRIES) scripts/run.sh

jobs: build
	scripts/jobs.sh

demo: build
	scripts/demo.sh

bench:
	go build -o bin/ ./cmd/bench
	bin/bench all
	bin/bench link
	bin/bench platform

failures: build
	go test ./internal/proof/process -count=1 -v -timeout 20m -bin $(CURDIR)/bin -full -seed $(SEED)

# Seeds from SEED on, each about 20 s, until MINUTES have passed; SEED=$$(date +%s) for fresh ones.
soak: build
	go test ./internal/proof/soak -count=1 -v -timeout 24h -bin $(CURDIR)/bin -seed $(SEED) -for $(MINUTES)m
