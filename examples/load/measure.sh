#!/usr/bin/env bash
# Starts control instances and targets without data on loopback, in release builds, and runs one
# measurement. Everything ends by itself.
#   measure.sh control ENTRIES TARGETS [options of `load entries`]
#   measure.sh watch TARGETS [SECONDS]: one real entry that watches TARGETS targets
#   measure.sh callers [options of `load callers`]: one real entry with 3 stand-in targets
set -euo pipefail
cd "$(dirname "$0")/../.."

kind=$1
shift
base=${PORT:-27100}
token=demo-token-0123456789
bin=${BIN:-target/release}
folder=$(mktemp -d)
pids=()
finish() {
  trap - EXIT
  for pid in ${pids[@]+"${pids[@]}"}; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap finish EXIT

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" 2> "$folder/$name.log" >/dev/null &
  pids+=($!)
}

members="" links="" https=""
for i in 0 1 2; do
  members+="${members:+,}{ \"instance\": \"control-$i\", \"address\": \"127.0.0.1:$((base + i))\" }"
  links+="${links:+,}127.0.0.1:$((base + i))"
  https+="${https:+,}127.0.0.1:$((base + 10 + i))"
done
for i in 0 1 2; do
  cat > "$folder/control-$i.json" <<JSON
{ "instance": "control-$i", "domain": "domain-$i", "data": "$folder/control-$i", "token": "$token",
  "link": "127.0.0.1:$((base + i))", "http": "127.0.0.1:$((base + 10 + i))",
  "members": [$members], "log": { "level": "warn" } }
JSON
  start "control-$i" "$bin/limpettally-control" --settings "$folder/control-$i.json"
done
controls=("${pids[@]}")
start targets "$bin/examples/load" targets $((base + 30))
targets=${pids[3]}

leader=""
for _ in $(seq 50); do
  status=$(LIMPETTALLY_TOKEN=$token "$bin/limpettally" --control "$https" status --json 2>/dev/null || true)
  leader=$(sed -n 's/.*"leader": *"control-\([0-9]\)".*/\1/p' <<< "$status" | head -1)
  [ -n "$leader" ] && break
  sleep 0.2
done
[ -n "$leader" ] || { echo "no leader" >&2; tail -n 3 "$folder"/*.log >&2; exit 1; }
ordered="${controls[$leader]}"
for i in 0 1 2; do [ "$i" = "$leader" ] || ordered+=",${controls[$i]}"; done
first="127.0.0.1:$((base + leader)),$links"

entry() { # start an entry and set entry_pid
  cat > "$folder/entry.json" <<JSON
{ "instance": "entry-0", "domain": "domain-0", "listen": "127.0.0.1:$((base + 20))",
  "http": "127.0.0.1:$((base + 21))", "token": "$token",
  "control": ["${links//,/\",\"}"], "cache": "$folder/entry.catalog", "max_callers": 100000,
  "session_keys": [{ "id": 1, "secret": "demo-session-secret-0123456789-0123456789" }],
  "callers": [{ "user": "demo", "salt": "bGltcGV0dGFsbHktZGVtbw==", "iterations": 4096,
    "hash": "wQavkR/YSZMjLYBvZ6xvqb/4eD0wwZx8Kaz8V0tB50A=" }],
  "log": { "level": "warn" }, "stop_timeout_ms": 1000 }
JSON
  start entry "$bin/limpettally-entry" --settings "$folder/entry.json"
  entry_pid=${pids[-1]}
}

load() { # ENTRIES TARGETS OPTIONS...
  "$bin/examples/load" entries --control "$first" --http "$https" --port $((base + 30)) \
    --entries "$1" --targets "$2" "${@:3}" || { tail -n 3 "$folder"/*.log >&2; return 1; }
}

case $kind in
  control) load "$1" "$2" --pids "$ordered" "${@:3}" ;;
  watch)
    # The fake entry fills the catalog; its windows show the real entry, first without, then with
    # changes of settings.
    entry
    load 1 "$1" --floor 2 --pids "$entry_pid,$ordered,$targets" --secs "${2:-5}" --quiet 3 --changes 1
    ls -l "$folder/entry.catalog" | awk '{print "cached catalog: " $5 " bytes"}'
    ;;
  callers)
    entry
    for i in 0 1 2; do
      primary=""
      [ "$i" = 0 ] || primary="\"primary\": \"127.0.0.1:$((base + 40))\","
      cat > "$folder/standin-$i.json" <<JSON
{ "target": "target-$i", "service": "registro-uova", "database": "orders", "group": "orders",
  "region": "sicilia-est", "domain": "domain-$i", "listen": "127.0.0.1:$((base + 40 + i))", $primary
  "announce": ["127.0.0.1:$((base + 21))"], "token": "$token", "ttl_ms": 3000, "lag_ms": 2 }
JSON
      start "standin-$i" "$bin/limpettally-standin" --settings "$folder/standin-$i.json"
    done
    sleep 4
    "$bin/examples/load" callers --address "127.0.0.1:$((base + 20))" --pids "$entry_pid,${pids[-3]}" "$@" \
      || { tail -n 3 "$folder"/*.log >&2; exit 1; }
    ;;
  *) echo "usage: measure.sh control|watch|callers ..." >&2; exit 2 ;;
esac
