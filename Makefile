.PHONY: build test race lint run ci

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -count=1 ./...

race:
	go test -race ./...

# tools/go.mod pins the linter's version, separately from the product's dependencies.
lint:
	go tool -modfile=tools/go.mod golangci-lint run ./...

# PROXY_CONFIG must hold the path of the configuration file.
run: build
	exec bin/initiator serve

ci:
	bash .ci/run
