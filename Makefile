# Targets are described in README.md.
.PHONY: build demo test crowd fuzz chaos mutants bench capacity compare generate lint soak
FUZZ_CHECKS ?= 500

build:
	go build -o bin/mallowgap ./cmd/mallowgap

demo: build
	scripts/demo.sh

# CI passes -skip for the tests in KNOWN-RED.txt and runs them by themselves.
# The tests of crowds measure the memory of a process, so they run last and alone.
test:
	go test $(TESTFLAGS) $$(go list ./... | grep -v '/platform/crowd$$')
	go test -p 1 -count 1 $(TESTFLAGS) ./platform/crowd

crowd:
	go test -p 1 -count 1 -v ./platform/crowd

fuzz:
	MALLOWGAP_FRESH=1 go test ./internal/invariant/ -timeout 60m -rapid.checks=$(FUZZ_CHECKS)

chaos: build
	scripts/chaos.sh

mutants:
	scripts/mutants.sh

bench:
	go test -run '^$$' -bench . -benchtime 100ms ./admission ./member ./once ./rendezvous ./replica ./retry ./scatter ./snapshot ./fanout ./discovery ./internal/gateway ./platform

capacity: build
	bin/mallowgap capacity docs/CAPACITY.md

compare: build
	scripts/compare.sh trinacria
	scripts/compare.sh veerik

generate:
	scripts/generate.sh

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool staticcheck ./...

# The fault soak: make soak SEED=1 SEEDS=50
SEED ?= 1
SEEDS ?= 10
soak:
	go test ./platform/soak -count 1 -timeout 60m -v -args -soak.seed $(SEED) -soak.seeds $(SEEDS) -soak.length 8s -soak.timed
