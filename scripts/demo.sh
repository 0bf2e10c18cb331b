#!/usr/bin/env bash
# Shows yuccadrift at work on this machine alone: the stand-in of the platform
# with both deployments' fleets, three entry VMs' worth of processes in three
# availability zones, all example documents, and load through a maintenance
# wave. Ends with a non-zero status if a promise broke. Needs Go only.
#
#   DEMO_PORT      first of about 30 ports on 127.0.0.1 (default 27100)
#   DEMO_REQUESTS  requests to send (default 4000)
#   DEMO_KEEP      keep logs and settings in this directory
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
port=${DEMO_PORT:-27100}
requests=${DEMO_REQUESTS:-4000}
limit=110 # seconds for the whole run, the build not counted
zones=(zone-a zone-b zone-c)
pools=booking,conversion
bin=$PWD/bin

dir=${DEMO_KEEP:-$(mktemp -d)}
mkdir -p "$dir"
pids=()

# finish ends what this script started, by process ID, also after Ctrl-C. The
# stand-in, which was started first, ends last.
finish() {
	local status=$? pid deadline
	trap - EXIT
	for pid in "${pids[@]:1}"; do kill -TERM "$pid" 2>/dev/null || true; done
	deadline=$((SECONDS + 15))
	for pid in "${pids[@]:1}" "${pids[@]:0:1}"; do
		[[ $pid != "${pids[0]}" ]] || kill -TERM "$pid" 2>/dev/null || true
		while kill -0 "$pid" 2>/dev/null && ((SECONDS < deadline)); do sleep 0.1; done
		kill -KILL "$pid" 2>/dev/null || true
	done
	[[ -n ${DEMO_KEEP:-} ]] || rm -rf "$dir"
	exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

say() { printf '[%3ds] %s\n' "$SECONDS" "$*"; }
progress() { [[ ! -t 1 ]] || printf '\r\033[K[%3ds] %s' "$SECONDS" "$*"; }
progress_done() { [[ ! -t 1 ]] || printf '\r\033[K'; }

die() {
	progress_done
	say "FAILED: $*"
	exit 1
}

start() { # NAME BINARY CONFIG
	"$bin/$2" --config "$3" >"$dir/$1.log" 2>&1 &
	pids+=($!)
	disown
}

within_limit() { ((SECONDS < limit)) || die "not over after $limit s; see the logs with DEMO_KEEP=DIR"; }

alive() {
	for pid in "${pids[@]}"; do
		kill -0 "$pid" 2>/dev/null && continue
		tail -n 3 "$dir"/*.log >&2
		die "a process ended early; the last lines of the logs are above"
	done
}

platform=127.0.0.1:$port
nodes=()
cli() { "$bin/yuccadrift" --platform "$platform" --nodes "$(IFS=,; echo "${nodes[*]}")" --author demo "$@"; }

write_standin() {
	cat >"$dir/standin.toml" <<-TOML
		listen = "$platform"
		log_level = "warn"
		default_work = "10ms"

		[[fleet]]
		prefix = "rml"
		count = 52
		zones = ["zone-a", "zone-b", "zone-c"]
		cores = 32
		memory_mb = 65536
		boot_seconds = 1

		[[fleet]]
		prefix = "fkv"
		count = 52
		zones = ["zone-a", "zone-b", "zone-c", "zone-d"]
		cores = 64
		memory_mb = 262144
		boot_seconds = 1
	TOML
}

# write_node writes the settings of both daemons of entry VM number $1.
write_node() {
	local i=$1 first=$((port + 10 * ($1 + 1)))
	local common
	common=$(
		cat <<-TOML
			[node]
			id = "entry-$i"
			zone = "${zones[$i]}"
			[platform]
			address = "$platform"
		TOML
	)
	cat >"$dir/entry-$i.toml" <<-TOML
		$common
		[peers]
		listen = "127.0.0.1:$first"
		[admin]
		listen = "127.0.0.1:$((first + 1))"
		[callers]
		listen = "127.0.0.1:$((first + 2))"
		[drain]
		notice = "1s"
	TOML
	cat >"$dir/steward-$i.toml" <<-TOML
		$common
		[peers]
		listen = "127.0.0.1:$((first + 5))"
		[admin]
		listen = "127.0.0.1:$((first + 6))"
	TOML
}

await_platform() {
	until "$bin/yuccadrift" --platform "$platform" --timeout 1s status >/dev/null 2>&1; do
		within_limit
		alive
		sleep 0.1
	done
}

# await_nodes waits until every node answers and has read the log.
await_nodes() {
	until cli --timeout 2s status >"$dir/status.txt" 2>&1 && ! grep -q 'never read' "$dir/status.txt"; do
		within_limit
		alive
		sleep 0.2
	done
}

# await_pools waits until every pool serves at its declared size.
await_pools() {
	local title service revision author serving full total
	while :; do
		full=0 total=0
		while IFS=, read -r title service revision author serving _; do
			[[ $title == services && $service != SERVICE ]] || continue
			total=$((total + 1))
			[[ ${serving% of *} -lt ${serving#* of } ]] || full=$((full + 1))
		done < <(cli --output csv status)
		progress "pools at their size: $full of $total"
		((total > 0 && full == total)) && break
		within_limit
		alive
		sleep 0.3
	done
	progress_done
	say "all $total pools serve at their size"
}

# await_wave waits until the wave is over.
await_wave() {
	local title wave status pools pending out back
	while :; do
		while IFS=, read -r title wave status rest; do
			[[ $title == waves && $wave == demo ]] && break
		done < <(cli --output csv wave show demo)
		progress "wave $status, load $(tail -c 200 "$dir/load.log" 2>/dev/null | tr '\r' '\n' | tail -n 1)"
		[[ $status == running || $status == paused ]] || break
		within_limit
		alive
		sleep 0.5
	done
	progress_done
}

say "building"
make build GO="$go" >/dev/null
SECONDS=0
write_standin
for i in 0 1 2; do write_node "$i"; done

start standin yuccadrift-standin "$dir/standin.toml"
await_platform
say "stand-in of the platform runs: 104 VMs with backend servers, control page http://$platform/control/"
for i in 0 1 2; do
	start "steward-$i" yuccadrift-steward "$dir/steward-$i.toml"
	nodes+=("127.0.0.1:$((port + 10 * (i + 1) + 5))")
	if [[ -x $bin/yuccadrift-entry ]]; then
		start "entry-$i" yuccadrift-entry "$dir/entry-$i.toml"
		nodes+=("127.0.0.1:$((port + 10 * (i + 1)))")
	fi
done
await_nodes
say "three entry VMs run in ${zones[*]}"
cli publish --wait-in-force examples/ramcharan/*.toml examples/feldkamm/*.toml >"$dir/publish.txt"
say "ten documents published and in force on every node"
await_pools
cli wave start --name demo --pools "$pools" --deadline 10m >"$dir/wave.txt"
say "maintenance wave over $pools started"
await_wave
cli wave show demo
cli status
