# Two commands do everything: "make demo" runs the main job, "make test" passes
# the tests. Both set up what they need.
GO ?= go
BIN := bin

.PHONY: demo test lint format build bench soak

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	./examples/demo.sh "$(CURDIR)/$(BIN)"

test:
	$(GO) test -race ./...

lint:
	@out=$$($(GO) tool gofumpt -l .); if [ -n "$$out" ]; then echo "not formatted by gofumpt:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool revive -set_exit_status ./...

format:
	$(GO) tool gofumpt -w .
