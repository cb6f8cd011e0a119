#!/usr/bin/env bash
# Starts the system of a trace on free loopback ports, plays the trace against it, and ends
# everything. Options after the trace go to `limpettally-replay play`, for example --json FILE.
set -euo pipefail
cd "$(dirname "$0")"

if [ $# -lt 1 ]; then
  echo "usage: ./replay.sh TRACE [--json FILE] [--plot FILE] [--label TEXT]" >&2
  exit 2
fi
trace=$1
shift
folder=$(mktemp -d)
declare -A pids=() programs=()
player=""

finish() {
  trap - EXIT INT TERM
  [ -z "$player" ] || kill -TERM "$player" 2>/dev/null || true
  # A frozen process takes SIGTERM only once it runs again.
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  for _ in $(seq 30); do
    alive=false
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=true; done
    $alive || break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

cargo build --release --locked --bins -j "${REPLAY_JOBS:-4}"
bin=target/release
"$bin/limpettally-replay" prepare "$trace" --folder "$folder"
mkfifo "$folder/signals"
exec 3<> "$folder/signals"
controls=$(cat "$folder/controls")

start() { # NAME
  "$bin/${programs[$1]}" --settings "$folder/$1.json" 2>> "$folder/$1.log" 3>&- &
  pids[$1]=$!
}

operate() { # ARGUMENTS
  "$bin/limpettally" --control "$controls" --token-file "$folder/token" "$@" > /dev/null 3>&-
}

while read -r name program; do
  programs[$name]=$program
  start "$name"
done < "$folder/processes"
while read -r key value; do
  operate settings set / "$key" "$value" --operator replay
done < "$folder/settings"

"$bin/limpettally-replay" play "$trace" --addresses "$folder/addresses.json" "$@" 3>&- &
player=$!
{
  while kill -0 "$player" 2>/dev/null; do sleep 0.1; done
  echo end >&3
} &

# The player writes a line for each fault and change of the trace.
while read -r action name <&3; do
  case $action in
    kill)
      # Waiting here keeps the shell from reporting the end of the job.
      { kill -KILL "${pids[$name]}" && wait "${pids[$name]}"; } 2>/dev/null || true
      ;;
    freeze) kill -STOP "${pids[$name]}" ;;
    continue) kill -CONT "${pids[$name]}" ;;
    restart)
      kill -KILL "${pids[$name]}" 2>/dev/null || true
      wait "${pids[$name]}" 2>/dev/null || true
      start "$name"
      ;;
    serving | draining | leaving)
      operate targets "$action" "$name" --operator replay || echo "operators: $action $name was refused" >&2 ;;
    end)
      code=0
      wait "$player" || code=$?
      player=""
      [ "$code" != 1 ] || tail -n 3 "$folder"/*.log >&2
      exit "$code"
      ;;
  esac
done
