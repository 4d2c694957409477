#!/usr/bin/env bash
# run-second.sh CASE FOLDER: plays a case of review/second with processes of the system, which
# are started with the command of the deploy file. TROUBLE=0 leaves out the disturbance.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
case=$1
folder=$2
cd "$top" || exit 2
if [ ! -x target/samphirehead ] || [ ! -x target/review-second ]; then
  echo 'build first: the build line of deploy/system.toml, then review/build-2.sh' >&2
  exit 2
fi
work=$(mktemp -d) || exit 2
pids=()
end() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  [ ! -f "$work/record.txt" ] || cp "$work/record.txt" "$folder/record.txt"
  rm -rf "$work"
}
trap end EXIT
trap 'exit 2' INT TERM
TROUBLE=${TROUBLE:-1} target/review-second "$case" "$work" &
play=$!
pids+=("$play")
for _ in $(seq 100); do
  [ -e "$work/settings-are-there" ] && break
  kill -0 "$play" 2>/dev/null || exit 2
  sleep 0.1
done
[ -e "$work/settings-are-there" ] || exit 2
for file in "$work"/*.yaml; do
  GOMAXPROCS=1 SAMPHIREHEAD_PEER_SECRET=replace-me-for-each-installation SAMPHIREHEAD_SETTINGS=$file \
    target/samphirehead route >"${file%.yaml}.log" 2>&1 &
  pids+=("$!")
  echo "$!" >"${file%.yaml}.pid"
done
wait "$play"
status=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$work"/*.log "$KEEP_LOGS"/
exit "$status"
