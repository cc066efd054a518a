# The tasks of the project. CI runs `make ci`.

BIN := $(CURDIR)/bin
TOOLS := go tool -modfile=$(CURDIR)/tools/go.mod
GOLANGCI_LINT_VERSION := v2.15.0
SOURCES = $(shell git ls-files -co --exclude-standard '*.go' | grep -v -e '\.pb\.go$$')

# KNOWN_RED is a pattern of exactly the tests of KNOWN-RED.txt, a line each: test, package, cause and issue.
KNOWN_RED = $(shell awk 'NF {name=$$1; gsub("/", "$$/^", name); printf "%s^%s$$", sep, name; sep="|"}' KNOWN-RED.txt 2>/dev/null)

.PHONY: setup build build-deployed fmt lint generate test known-red soak regress bench ci check-fmt check-generated

setup: ## Fetch modules and install the pinned linter.
	go mod download
	cd tools && go mod download
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

build: ## Build both programs into bin.
	go build -o $(BIN)/ ./cmd/...

fmt: ## Format the sources.
	$(TOOLS) gofumpt -w $(SOURCES)

generate: ## Generate the messages and services from the .proto file.
	cd internal/wire && $(TOOLS) buf generate

lint: ## Vet and lint.
	go vet ./...
	$(BIN)/golangci-lint run ./...

test: known-red ## Run all tests but those that are known to fail, and print these.
	go test -count=1 -timeout 20m -skip '$(KNOWN_RED)' ./...

known-red: ## Run the tests that are known to fail, and print what became of them.
	@test ! -s KNOWN-RED.txt || while read -r name package cause; do \
		if go test -count=1 -timeout 2m -run "^$$(echo "$$name" | sed 's|/|$$/^|g')\$$" "$$package" >/dev/null 2>&1; \
		then echo "known red, passes now: $$name: $$cause"; else echo "known red: $$name: $$cause"; fi; \
	done < KNOWN-RED.txt

SOAK_FROM ?= 1000
soak: ## Run fifty seeds of random faults against real processes.
	go test -count=1 -timeout 30m -parallel 6 ./internal/soak -soak.seeds 50 -soak.from $(SOAK_FROM) -soak.change 2s

# PLAY is the users' program that plays days of a deployment, SITES are the deployments' files.
regress: ## Play the standard days of deployments and compare them with docs/contributors/figures.txt.
	tools/regress.sh "$(PLAY)" $(SITES)

bench: ## Run the benchmarks from which docs/CAPACITY.md is worked out.
	go test -run '^$$' -bench . -benchmem ./...

check-fmt:
	@unformatted="$$($(TOOLS) gofumpt -l $(SOURCES))"; \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi

check-generated: generate
	@git diff --exit-code --stat -- internal/wire || (echo "generated code is not up to date"; exit 1)

build-deployed: ## Build as deploy/system.toml says.
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"

ci: setup check-fmt check-generated lint build build-deployed
	$(MAKE) test
	go test -count=1 -timeout 40m -skip '$(KNOWN_RED)' -race ./pkg/... ./internal/daemon/... ./internal/kernel/... ./internal/direct/... ./internal/upstream/...
