.PHONY: build test race lint run ci

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -count=1 ./...

race:
	go test -race ./...

# The linter is pinned in tools/go.mod, apart from the product's modules.
lint:
	go tool -modfile=tools/go.mod golangci-lint run ./...

# PROXY_CONFIG names the configuration.
run: build
	exec bin/initiator serve

ci:
	bash .ci/run
