BIN := $(CURDIR)/bin
SEED ?= 1
N ?= 200000

.PHONY: build test lint fuzz soak decoders mutants bench policy capacity generate tools

build:
	go build -o $(BIN)/egretwall .

tools: $(BIN)/staticcheck

$(BIN)/staticcheck: tools/go.mod
	cd tools && GOBIN=$(BIN) go install tool

lint: tools
	@test -z "$$($(BIN)/gofumpt -l . | grep -v '\.pb\.go$$')" || { $(BIN)/gofumpt -l .; exit 1; }
	go vet ./...
	$(BIN)/staticcheck ./...

# Tests to leave out, separated by |.
SKIP ?=
# These packages play whole fleets on one goroutine, for minutes under the race detector.
SEQUENTIAL := internal/apportioner
test: lint
	go test -race -count=1 -timeout 9m $(if $(SKIP),-skip '^($(SKIP))$$') $$(go list ./... | grep -v '/$(SEQUENTIAL)$$')
	go test -count=1 -timeout 9m $(if $(SKIP),-skip '^($(SKIP))$$') ./$(SEQUENTIAL)

generate: tools
	PATH=$(BIN):$$PATH protoc -I internal/linkpb --go_out=internal/linkpb --go_opt=paths=source_relative \
		--go-grpc_out=internal/linkpb --go-grpc_opt=paths=source_relative link.proto

fuzz:
	EGRETWALL_SUMMARY=1 go test -count=1 -v -timeout 0 -run TestPromisesHoldUnderFaults ./internal/reducer -rapid.seed=$(SEED) -rapid.checks=$$(($(N) / 50))

# Runs gateways and stewards as processes under faults, SEEDS seeds from SEED on;
# LOGS names a directory for the logs of seeds that fail.
SEEDS ?= 50
LENGTH ?= 6s
LOGS ?=
soak:
	go test -race -count=1 -v -timeout 0 -run 'TestSoak($$|OfSlowReaders|OfLosses)' ./platform -soak.first=$(SEED) -soak.seeds=$(SEEDS) -soak.length=$(LENGTH) -soak.logs=$(LOGS)

# Fuzzes the decoders of what others send, a while each.
decoders:
	for t in decoder:FuzzDecode generator:FuzzGenerate loader:FuzzSettings acceptor:FuzzParseCall forwarder:FuzzReadEvent forwarder:FuzzEngineBody recorder:FuzzDecode messenger:FuzzDecode verifier:FuzzHead; do \
		go test -run '^$$' -fuzz $${t#*:}'$$' -fuzztime 10s ./internal/$${t%:*} || exit 1; done
	for t in FuzzDecodeServer FuzzDecodeConfiguration FuzzSplitRecords FuzzDecodeReport FuzzCall; do \
		go test -run '^$$' -fuzz $$t'$$' -fuzztime 10s ./platform || exit 1; done

mutants:
	go test -count=1 -v -run 'Mutants|Chunks|LostOrders|Reverting|Forgetting|HistoryCheck' ./internal/reducer ./internal/follower ./internal/reserver ./internal/demonstrator ./internal/watcher ./internal/dispatcher ./internal/relayer ./platform

bench:
	go test -run '^$$' -bench 'Request|Keyed|Silence|Rolling' -benchtime 3s ./internal/demonstrator
	go test -run '^$$' -bench 'Events|Choose' -benchmem ./internal/reducer
	go test -run '^$$' -bench . -benchmem ./internal/router

policy:
	go run ./internal/evaluator/policy

capacity:
	go test -run '^$$' -bench 'Capacity|ListSize' -benchtime 1x ./internal/demonstrator
	go test -run '^$$' -bench Accept ./pkg/configurator
	go test -run '^$$' -bench Place ./internal/placer
	go test -run '^$$' -bench 'Choose|Tick|Events' ./internal/reducer
	go test -run '^$$' -bench Memory -benchtime 1x ./internal/command
