.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...

# CONFIG names the file that the platform gives a scheduler; see README.md for its form.
run: build
	bin/shalebeam serve --config $(CONFIG)
