.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool -modfile=tools/go.mod staticcheck ./...

# CONFIG names the file that tells the scheduler of its machine, else BALANCER_CONFIG does; README.md has its form.
run: build
	bin/shalebeam serve $(if $(CONFIG),--config $(CONFIG))
