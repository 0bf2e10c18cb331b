#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 9 to 13 into target/review/N/case. The sources are copied there only
# for the build.
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 9 10 11 12 13; do
	source=review/$n/case.go.txt
	[[ -e $source ]] || continue
	dir=target/review/$n
	mkdir -p "$dir"
	trap 'rm -f "$dir"/*.go' EXIT
	cp "$source" "$dir/main.go"
	cp review/9/common.go.txt "$dir/common.go"
	cp review/9/worker.go.txt "$dir/worker.go"
	cp review/9/memory.go.txt "$dir/memory.go"
	cp review/9/link.go.txt "$dir/link.go"
	go build -trimpath -o "$dir/case" "./$dir"
	rm -f "$dir"/*.go
done
