.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool -modfile=tools/go.mod staticcheck ./...

# CONFIG is the path of the scheduler's configuration file; without it BALANCER_CONFIG is used. README.md describes the file.
run: build
	bin/shalebeam serve $(if $(CONFIG),--config $(CONFIG))
