#!/usr/bin/env bash
# Builds the program of each case into target/review/NAME/. The sources lie beside the
# cases as main.go.txt, so that they are no part of the project's packages.
set -uo pipefail
cd "$(dirname "$0")/.."
status=0
for source in review/*/main.go.txt; do
	[[ -f $source ]] || continue
	name=$(basename "$(dirname "$source")")
	folder=target/review/$name
	mkdir -p "$folder"
	cp "$source" "$folder/main.go"
	go build -trimpath -o "$folder/case" "./$folder" || status=1
	rm -f "$folder/main.go"
done
exit $status
