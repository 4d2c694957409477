# Runs one case; sourced by the run.sh of each. Usage: run_case FOLDER STANDIN TROUBLE, where
# TROUBLE is true or false. The stand-in writes the settings of the instances and the list of
# their names, and then waits until they are ready; its exit status is that of the case.

# keep_running starts an instance again each time that it ends.
keep_running() {
	local name=$1
	trap '[ -z "$router" ] || kill -KILL "$router" 2>/dev/null; exit 0' TERM
	while :; do
		SAMPHIREHEAD_SETTINGS=$scratch/$name.conf SAMPHIREHEAD_PEER_SECRET=replace-me-for-each-installation \
			target/samphirehead route >>"$scratch/$name.log" 2>&1 &
		router=$!
		echo "$router" >"$scratch/$name.pid"
		wait "$router"
		router=
		sleep 0.5
	done
}

run_case() {
	local folder=$1 standin=$2 trouble=$3 keepers=() list name status driver
	root=$(cd "$folder/../.." && pwd)
	cd "$root" || exit 2
	scratch=$(mktemp -d) || exit 2
	if [ ! -x target/samphirehead ] || [ ! -x "target/review/$standin" ]; then
		echo "not built: run the build line of deploy/system.toml and review/build.sh"
		exit 2
	fi
	"target/review/$standin" -dir "$scratch" -record "$folder/record.txt" -trouble="$trouble" &
	driver=$!
	trap 'kill "$driver" "${keepers[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$scratch"' EXIT
	list=$scratch/instances
	for _ in $(seq 100); do
		[ -e "$list" ] && break
		sleep 0.1
	done
	[ -e "$list" ] || exit 2
	while read -r name; do
		keep_running "$name" 2>/dev/null &
		keepers+=($!)
	done <"$list"
	wait "$driver"
	status=$?
	kill "${keepers[@]}" 2>/dev/null
	wait 2>/dev/null
	if [ -n "${KEEP_LOGS:-}" ]; then
		cp "$scratch"/*.log "$KEEP_LOGS"
	fi
	[ "$status" -le 1 ] || status=2
	exit "$status"
}
