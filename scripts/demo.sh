#!/usr/bin/env bash
# Shows yuccadrift at work on this machine alone: the stand-in of the platform
# with both deployments' fleets, three entry VMs' worth of processes in three
# availability zones, all example documents, and load through a maintenance
# wave. Ends with a non-zero status if a promise broke. Needs Go only.
#
#   DEMO_PORT      first of about 30 ports on 127.0.0.1 (default 27100)
#   DEMO_KEEP      keep logs and settings in this directory
set -euo pipefail
shopt -s extglob
cd "$(dirname "$0")/.."
go=${GO:-go}
port=${DEMO_PORT:-27100}
vms=104
limit=110        # seconds for the whole run, the build not counted
load_seconds=30  # of load; the wave takes some 20 of them
zones=(zone-a zone-b zone-c)
pools=booking,conversion
routes=(
	name=lookup,path=/booking/lookup,rate=60,work=10ms,reply=2000
	name=reservation,path=/booking/reservations,rate=15,work=40ms,keyed=true
	name=status,path=/conversion/status,rate=30,work=5ms
	name=conversion,path=/conversion/conversions,rate=3,work=1500ms,keyed=true,body=100000
	name=rotation,path=/preview/rotations,rate=40,work=15ms,reply=64000
)
bin=$PWD/bin

dir=${DEMO_KEEP:-$(mktemp -d)}
mkdir -p "$dir"
pids=()    # of daemons, the stand-in first
helpers=() # of what ends by itself

# finish ends what this script started, by process ID, also after Ctrl-C. The
# stand-in, which was started first, ends last.
finish() {
	local status=$? pid deadline
	trap - EXIT
	for pid in "${helpers[@]+"${helpers[@]}"}" "${pids[@]:1}"; do kill -TERM "$pid" 2>/dev/null || true; done
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

# progress shows a line that the next one replaces; off a terminal, a line now
# and then.
told=0
progress() {
	if [[ -t 1 ]]; then
		printf '\r\033[K[%3ds] %s' "$SECONDS" "$*"
	elif ((SECONDS >= told + 5)); then
		say "$*"
		told=$SECONDS
	fi
}
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
		count = $((vms / 2))
		zones = ["zone-a", "zone-b", "zone-c"]
		cores = 32
		memory_mb = 65536
		boot_seconds = 1

		[[fleet]]
		prefix = "fkv"
		count = $((vms / 2))
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

# await_fleet waits until the stewards have registered every VM, so that the
# pools choose among all of them.
await_fleet() {
	until cli --output csv status | grep -q "^fleet,$vms,"; do
		within_limit
		alive
		progress "VMs are being registered"
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

# start_load sends requests through all entry VMs in the background.
start_load() {
	local route args=()
	for route in "${routes[@]}"; do args+=(--route "$route"); done
	"$bin/yuccadrift-load" "${targets[@]}" "${args[@]}" --warm 0s --duration "${load_seconds}s" >"$dir/load.log" 2>&1 &
	load_pid=$!
	helpers+=("$load_pid")
	disown
	say "callers send 148 requests a second for $load_seconds s, long conversions among them"
}

# await_run waits until wave and load are over and sets wave_status.
await_run() {
	local title wave pools pending out back rest load_over
	while :; do
		wave_status=gone
		while IFS=, read -r title wave status pools rest; do
			[[ $title == waves && $wave == demo ]] || continue
			wave_status=$status
			rest=${rest##*\"}
			IFS=, read -r pending out back _ <<<"${rest#,}"
		done < <(cli --output csv wave show demo)
		load_over=yes
		! kill -0 "$load_pid" 2>/dev/null || load_over=no
		progress "wave $wave_status: $back VMs back, $out out, $pending to come; load over: $load_over"
		[[ $wave_status == running || $load_over == no ]] || break
		within_limit
		alive
		sleep 0.5
	done
	progress_done
}

# counter prints a number from the backend servers' part of the stand-in's
# counters, read once into $counters.
counters=
read_counters() {
	exec 3<>"/dev/tcp/127.0.0.1/$port"
	printf 'GET /control/counters HTTP/1.0\r\nHost: demo\r\n\r\n' >&3
	counters=$(cat <&3)
	exec 3>&-
	counters=${counters#*\"backends\":}
	counters=${counters%%\"vms\":*}
}
counter() {
	[[ $counters =~ \"$1\":([0-9]+) ]] || die "the stand-in has no counter $1"
	echo "${BASH_REMATCH[1]}"
}

# promise prints one line of the verdict.
broken_promises=0
promise() { # TEXT TRIED BROKEN
	local verdict=kept
	if [[ $3 != 0 ]]; then
		verdict=BROKEN
		broken_promises=$((broken_promises + 1))
	fi
	printf '  %-58s %8s %8s  %s\n' "$1" "$2" "$3" "$verdict"
}

verdict() {
	local name n_sent n_good rate failed notrun unknown broken wrong rest
	local sent=0 cut=0 mixed=0 keyed=0 skipped overspent=0 services=0 left
	while read -r name n_sent n_good rate failed notrun unknown broken wrong rest; do
		[[ $name != route && -n $wrong ]] || continue
		sent=$((sent + n_sent)) cut=$((cut + broken)) mixed=$((mixed + wrong))
		[[ "${routes[*]}" != *name=$name,*([^ ])keyed=true* ]] || keyed=$((keyed + n_sent))
	done <"$dir/load.log"
	((sent > 0)) || die "the load generator sent nothing: $(cat "$dir/load.log")"
	read_counters
	local row
	while IFS= read -r row; do
		services=$((services + 1))
		[[ $row != *,spent,* ]] || overspent=$((overspent + 1))
	done < <(cli --output csv report | grep '^budget burn,' | grep -v ',SERVICE,')
	skipped=$(cli --output csv wave show demo | grep -c '^skipped VMs,demo,') || true
	[[ $wave_status == done ]] || skipped=$((skipped + 1))
	cli record --note "demo" "$dir/demo.jsonl.gz" >/dev/null
	local differ=0
	cli replay "$dir/demo.jsonl.gz" >"$dir/replay.txt" 2>&1 || differ=1

	echo
	printf '  %-58s %8s %8s\n' "promise" tried broken
	promise "answers are whole and the caller's own" "$sent" "$mixed"
	promise "no request is cut: connections and partial answers" "$sent" "$cut"
	promise "no request is cut: in flight at a VM that went down" "$(counter runs)" "$(counter cut_in_flight)"
	promise "a request that is not repeatable runs at most once" "$keyed" "$(($(counter max_runs_per_key) > 1))"
	promise "the wave maintains every VM" "$wave_vms" "$skipped"
	promise "pools stay within their availability budget" "$services" "$overspent"
	promise "a fresh fold of the log comes to the same outcomes" 1 "$differ"
	((broken_promises == 0)) || die "$broken_promises promises broke"
}

say "building"
make build GO="$go" >/dev/null
SECONDS=0
write_standin
for i in 0 1 2; do write_node "$i"; done

start standin yuccadrift-standin "$dir/standin.toml"
await_platform
say "the stand-in of the platform runs: $vms VMs with backend servers, faults to order at http://$platform/control/"
targets=()
for i in 0 1 2; do
	first=$((port + 10 * (i + 1)))
	start "steward-$i" yuccadrift-steward "$dir/steward-$i.toml"
	start "entry-$i" yuccadrift-entry "$dir/entry-$i.toml"
	nodes+=("127.0.0.1:$first" "127.0.0.1:$((first + 5))")
	targets+=(--target "127.0.0.1:$((first + 2))")
done
await_nodes
say "three entry VMs run, in ${zones[*]}"
await_fleet
cli publish --wait-in-force examples/ramcharan/*.toml examples/feldkamm/*.toml >"$dir/publish.txt"
slowest=$(grep -oE '[0-9.]+m?s$' "$dir/publish.txt" | sort -V | tail -n 1)
say "ten documents published; each in force on all six processes, the slowest after $slowest"
await_pools

start_load
sleep 1
cli wave start --name demo --pools "$pools" --deadline 10m >"$dir/wave.txt"
wave_vms=0
for n in $(cli --output json wave show demo | grep -oE '"(pending|out|back)": [0-9]+' | grep -oE '[0-9]+'); do
	wave_vms=$((wave_vms + n))
done
say "maintenance wave over $pools started: $wave_vms VMs to drain, reboot and take back"
await_run
say "wave and load are over"
echo
cat "$dir/load.log"
echo
cli report
verdict
echo
say "all promises kept"
