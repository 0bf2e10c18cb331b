#!/usr/bin/env bash
# Runs the case once. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
name=$(basename "$here")
case_bin=$root/target/review/$name/case
node_bin=$root/target/yuccadrift-node
[[ -x $case_bin && -x $node_bin ]] || { echo "build the node and review/build.sh first"; exit 2; }
dir=$(mktemp -d)
pids=()
finish() {
	local status=$? pid
	trap - EXIT
	for pid in "${pids[@]+"${pids[@]}"}"; do kill -KILL "$pid" 2>/dev/null; done
	[[ -n ${KEEP_LOGS:-} ]] && cp "$dir"/*.log "$KEEP_LOGS"/
	rm -rf "$dir"
	exit "$status"
}
trap finish EXIT
trouble=true
[[ ${TROUBLE:-1} == 0 ]] && trouble=false
"$case_bin" --dir "$dir" --trouble="$trouble" --record "$here/record.txt" >"$dir/case.out" 2>"$dir/case.log" &
checker=$!
pids+=("$checker")
for _ in $(seq 100); do
	grep -q ready "$dir/case.out" && break
	sleep 0.1
done
cd "$root" || exit 2
for settings in "$dir"/entry-*.toml; do
	YUCCADRIFT_SETTINGS=$settings "$node_bin" >"${settings%.toml}.log" 2>&1 &
	pids+=($!)
	disown
done
wait "$checker"
status=$?
grep -v '^ready$' "$dir/case.out"
((status <= 2)) || status=2
exit "$status"
