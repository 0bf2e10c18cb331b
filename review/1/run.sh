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
start_node() { # NUMBER
	local base=$dir/entry-$1
	YUCCADRIFT_SETTINGS=$base.toml "$node_bin" >>"$base.log" 2>&1 &
	pids+=($!)
	echo $! >"$base.pid"
	disown
}
for number in 0 1 2; do start_node "$number"; done
while kill -0 "$checker" 2>/dev/null; do
	if [[ -s $dir/restart ]]; then
		number=$(<"$dir/restart")
		rm -f "$dir/restart"
		start_node "$number"
	fi
	sleep 0.1
done
wait "$checker"
status=$?
grep -v '^ready$' "$dir/case.out"
((status <= 2)) || status=2
exit "$status"
