# Main targets: demo, test, lint, proof, bench, capacity. README.md explains them.
export CGO_ENABLED = 1
TOOLS := $(CURDIR)/.tools
STATICCHECK_VERSION := v0.8.2
NILNESS_VERSION := v0.53.0

.PHONY: all build demo test lint proof mutants soak soak-mutants bench capacity plots clean generate

all: build

build:
	go build -o bin/ ./cmd/... ./test/standin/cmd/...

# PLATFORM=1 runs marbleroad-node with stand-ins for the users' platform.
demo: build
	@scripts/demo$(if $(PLATFORM),-platform).sh

test: build
	@scripts/test.sh

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "run gofmt"; exit 1; }
	go vet ./...
	@test -x $(TOOLS)/staticcheck || GOBIN=$(TOOLS) go install honnef.co/go/tools/cmd/staticcheck@$(STATICCHECK_VERSION)
	$(TOOLS)/staticcheck ./...
	@test -x $(TOOLS)/nilness || GOBIN=$(TOOLS) go install golang.org/x/tools/go/analysis/passes/nilness/cmd/nilness@$(NILNESS_VERSION)
	$(TOOLS)/nilness ./...

bench:
	go test -run '^$$' -bench . -benchmem ./...

# SEED=n ROUNDS=m runs more seeds and checks than CI does.
proof:
	@scripts/proof.sh

# Runs marbleroad-node under random faults; docs/SOAK.md explains the variables.
SEED ?= 1
SEEDS ?= 50
MINUTES ?= 0
NODES ?= 3
ENGINES ?= 8
PLAIN ?= 3
CALLERS ?= 30
soak:
	go build -o bin/ ./cmd/marbleroad-node ./test/soak
	bin/soak --seed $(SEED) --seeds $(SEEDS) --minutes $(MINUTES) --nodes $(NODES) --engines $(ENGINES) --plain $(PLAIN) --callers $(CALLERS)

# Checks that each check of the soak detects the fault that it is meant for.
soak-mutants:
	@scripts/soak-mutants.sh

# Removes one mechanism at a time in a copy and checks that its test fails.
mutants:
	@scripts/mutants.sh

# About ten minutes; needs an otherwise idle machine. The settings are those of
# docs/CAPACITY.md for the planned size.
capacity: build
	go build -o bin/ ./test/capacity
	CAPACITY_CONTROL="$$(printf 'probe_interval = 1s\nexchange_interval = 3s\n[presence]\nwindow = 8s\n')" \
	CAPACITY_ENTRY="$$(printf 'view_interval = 500ms\n')" bin/capacity

plots:
	go run ./test/policy/plots docs/plots

clean:
	rm -rf bin .tools

# Needs protoc, protoc-gen-go and protoc-gen-connect-go; the result is committed.
generate:
	protoc --go_out=. --go_opt=paths=source_relative --connect-go_out=. --connect-go_opt=paths=source_relative api/marbleroad/v1/marbleroad.proto
