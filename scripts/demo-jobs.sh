#!/usr/bin/env bash
# Shows jobs on a stand-in of the users' platform: three nodes, 200 jobs on two
# queues, a wave of maintenance through all VMs, and one node killed and started
# again in the middle. Ends with a non-zero status if a promise broke.
set -euo pipefail
cd "$(dirname "$0")/.."
port=${DEMO_JOBS_PORT:-27300}
bin=$PWD/bin
dir=$(mktemp -d)
pids=()

finish() {
	local status=$? pid
	trap - EXIT
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	[[ $status == 0 ]] && rm -rf "$dir" || echo "logs are in $dir"
	exit "$status"
}
trap finish EXIT
say() { printf '[%3ds] %s\n' "$SECONDS" "$*"; }

start_node() { # NUMBER
	"$bin/yuccadrift-node" --config "$dir/entry-$1.toml" >>"$dir/entry-$1.log" 2>&1 &
	pids+=($!)
	node_pid=$!
	disown
}

make build >/dev/null
SECONDS=0
"$bin/yuccadrift-platform-standin" --dir "$dir" --nodes 3 --port "$port" --wave-after 4s >"$dir/standin.log" 2>&1 &
standin=$!
pids+=("$standin")
until grep -q ready "$dir/standin.log"; do sleep 0.1; done
targets=()
for i in 0 1 2; do
	start_node "$i"
	targets+=(--target "127.0.0.1:$((port + 4 * i))")
done
first=${pids[1]}
say "the stand-in of the users' platform and three nodes run"
"$bin/yuccadrift-load" jobs "${targets[@]}" --host jobs.example --queue /booking/ --queue /returns/ >"$dir/load.log" 2>&1 &
load=$!
say "200 jobs are sent, 20 a second; all VMs go through maintenance"
sleep 5
kill -KILL "$first"
say "one node was killed"
sleep 1
start_node 0
say "and started again"
wait "$load"
say "$(cat "$dir/load.log")"
for _ in $(seq 100); do
	grep -hq '"state":"completed"' "$dir"/entry-*.log && break
	sleep 0.2
done
kill -TERM "$standin"
wait "$standin" || { cat "$dir/standin.log"; exit 1; }
sed 's/^/       /' "$dir/standin.log" | grep -v ready
say "all promises kept"
