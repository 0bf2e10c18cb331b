# Developer entry points. `make demo` and `make test` need Go only.
GO ?= go
BIN := bin

.PHONY: build demo demo-jobs test soak lint proto
build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo:
	@GO="$(GO)" ./scripts/demo.sh
	@./scripts/demo-jobs.sh

# Jobs, a wave and a killed node on a stand-in of the users' platform, 20 s.
demo-jobs:
	@./scripts/demo-jobs.sh

test:
	GO="$(GO)" ./scripts/test.sh

# All faults at once against 8 entry VMs' processes, about three minutes, on
# loopback. FAULTS_SEED=N repeats the faults of a run.
faults:
	$(GO) test -tags faults ./internal/proof -run '^TestFaultsTogether$$' -count=1 -v -timeout 15m

# Random faults against nodes as processes: SEEDS seeds that begin at FIRST, four
# at a time, some 20 s each. `make test` plays a few kept ones. YUCCADRIFT_KEPT_LOGS=DIR
# keeps the whole logs of the nodes of those that fail.
SEEDS ?= 50
FIRST ?= 0
soak:
	YUCCADRIFT_SOAK_SEEDS=$(SEEDS) YUCCADRIFT_SOAK_FIRST=$(FIRST) $(GO) test ./internal/proof -run '^TestSoak$$' -count=1 -v -timeout 60m

lint:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "gofmt:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Regenerates committed protobuf code; needs protoc and the two Go plugins.
proto:
	protoc -I . --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative $$(git ls-files '*.proto')
