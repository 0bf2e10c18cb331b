#!/usr/bin/env bash
# Runs all tests, but for those listed in KNOWN-RED.txt, which it prints.
# A line of that file is "PACKAGE TEST | cause | issue", as in
#   ./internal/claim TestOwnerPausedPastLease | lease read before the pause | issue 4
# or, for one subtest of a test, "PACKAGE TEST/SUBTEST | cause | issue".
# Empty lines and lines that start with # are left out. Three tests at most; a
# line whose test does not exist is an error, so that stale ones do not stay.
# Scripts that no test runs are listed as "script PATH | cause | issue". They are
# printed; a path that is no executable file is an error.
# Arguments are handed to `go test`.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
red_file=KNOWN-RED.txt
max_red=3

fail() {
	echo "$red_file: $1" >&2
	exit 1
}

red=() red_scripts=()
if [[ -f $red_file ]]; then
	while IFS= read -r line || [[ -n $line ]]; do
		case $line in
		'' | \#*) ;;
		script\ *) red_scripts+=("$line") ;;
		*) red+=("$line") ;;
		esac
	done <"$red_file"
fi
((${#red[@]} <= max_red)) || fail "${#red[@]} tests are listed, at most $max_red may be"

for line in "${red_scripts[@]+"${red_scripts[@]}"}"; do
	[[ $line =~ ^script\ ([^ |]+)\ \|\ [^|]+\ \|\ [^|]+$ ]] || fail "not 'script PATH | cause | issue': $line"
	[[ -f ${BASH_REMATCH[1]} && -x ${BASH_REMATCH[1]} ]] || fail "no such script: ${BASH_REMATCH[1]}"
	echo "known red, not run: $line"
done

packages=$($go list ./...)
declare -A skip=()
for line in "${red[@]+"${red[@]}"}"; do
	[[ $line =~ ^(\./[^ ]+)\ (Test[A-Za-z0-9_]*)(/[A-Za-z0-9_]+)?\ \|\ [^|]+\ \|\ [^|]+$ ]] || fail "not 'PACKAGE TEST | cause | issue': $line"
	package=$($go list "${BASH_REMATCH[1]}")
	name=${BASH_REMATCH[2]}
	[[ -n $($go test -list "^$name\$" "$package" | grep -x "$name") ]] || fail "no such test: $package $name"
	subtest=${BASH_REMATCH[3]#/}
	skip[$package]+="${skip[$package]:+|}^$name\$${subtest:+/^$subtest\$}"
	echo "known red, passed over: $line"
done

# The packages with listed tests run beside the others; their output comes after the others' output.
output=$(mktemp -d)
trap 'rm -rf "$output"' EXIT
status=0 number=0
pids=()
for package in "${!skip[@]}"; do
	$go test "$@" -skip "${skip[$package]}" "$package" >"$output/${#pids[@]}" 2>&1 &
	pids+=($!)
done
# shellcheck disable=SC2086 # one package a word
$go test "$@" $(grep -vxF -f <(printf '%s\n' "${!skip[@]}" /) <<<"$packages") || status=$?
for pid in "${pids[@]+"${pids[@]}"}"; do
	wait "$pid" || status=$?
	cat "$output/$number"
	((++number))
done
exit $status
