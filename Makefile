# The README names `make demo` and `make test`; the other targets serve development.
GOBIN := $(shell go env GOPATH)/bin
LINT := $(GOBIN)/golangci-lint

.PHONY: build demo test tools lint vet unit race model failure clients soak bench slopes generate format

build:
	go build -o bin/ ./cmd/...

demo: build
	bash scripts/demo

test: tools lint vet race model failure clients

tools:
	bash scripts/install-tools

lint:
	$(LINT) run --allow-parallel-runners ./...

vet:
	go vet ./...

unit:
	go test ./...

race:
	bash scripts/test-race

model:
	bash scripts/model

failure: build
	bash scripts/test-failure

clients: build
	bash scripts/test-clients

# Example: make soak SEED=7 COUNT=50 LENGTH=15s KEEP=folder
SEED ?= 1
COUNT ?= 1
LENGTH ?= 10s
soak:
	go test ./test/failure -run 'TestSoak$$' -count=1 -v -timeout 10h \
		-soak.seed $(SEED) -soak.count $(COUNT) -soak.length $(LENGTH) $(if $(KEEP),-soak.keep $(KEEP))

bench: build
	bash scripts/bench

slopes: build
	bash scripts/slopes

generate:
	bash scripts/generate

format:
	$(LINT) fmt ./...
