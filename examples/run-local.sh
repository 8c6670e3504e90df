#!/usr/bin/env bash
# Runs a whole deployment as separate processes on loopback: the platform, engines, plain services and entry instances.
# Applies the example's folder, sends a model request and an order, kills an instance, sends both again, and ends only
# what it started.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
name=${1:-chalk-traders}
example=$root/examples/$name
[ -d "$example/deployment" ] || { echo "usage: $0 chalk-traders|nyktomouseio" >&2; exit 2; }
mangoridge=$root/bin/mangoridge
logs=$(mktemp -d)
pids=()
export MANGORIDGE_JAVA_OPTS="-Xmx192m -XX:+UseSerialGC -XX:TieredStopAtLevel=1"

finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  echo "logs of this run: $logs"
}
trap finish EXIT

start() { # start NAME COMMAND...
  local log=$logs/$1.log
  shift
  "$mangoridge" "$@" >"$log" 2>&1 &
  pids+=($!)
}

value() { sed -n "s/^$2 *= *//p" "$1" | head -1; }

await() { # await SECONDS COMMAND...
  local tries=$(($1 * 5))
  shift
  for ((i = 0; i < tries; i++)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  echo "gave up waiting for: $*" >&2
  exit 1
}

all_run() {
  for pid in "${pids[@]}"; do
    kill -0 "$pid" 2>/dev/null || { echo "a process ended at its start, maybe a port is in use; see $logs" >&2; exit 1; }
  done
}

listens() { (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; }

"$mangoridge" version
first=$example/instances/entry-1.ini
platform=$(value "$first" address)
start platform standin platform --listen "$platform"
await 20 listens "$platform"

while read -r server address role service; do
  if [ "$role" = plain ]; then
    start "$server" standin service --listen "$address"
  else
    model=$(awk -v s="[service $service]" '$0 == s {found = 1} found && $1 == "model" {print $3; exit}' \
      "$example"/deployment/*services.ini)
    start "$server" standin engine --listen "$address" --role "$role" --model "$model"
  fi
  servers+=("$address")
done < <(awk '/^\[server /{gsub(/[\[\]]/, ""); name = $2} $1 == "address" {a = $3} $1 == "role" {r = $3}
  $1 == "service" {print name, a, r, $3}' "$example"/deployment/*servers*.ini)
for address in "${servers[@]}"; do await 30 listens "$address"; done

declare -A instance_pid
for file in "$example"/instances/*.ini; do
  id=$(value "$file" id)
  start "$id" serve --settings "$file"
  instance_pid[$id]=${pids[-1]}
done
for file in "$example"/instances/*.ini; do await 30 listens "$(value "$file" caller)"; done

all_run
MANGORIDGE_TOKEN=$(sed -n 's/^| operator morag | `\(.*\)` |$/\1/p' "$example/README.md")
export MANGORIDGE_TOKEN
"$mangoridge" apply "$example/deployment" --to "$(value "$first" operator)"

key=$(sed -n 's/^| caller .* | `\(.*\)` |$/\1/p' "$example/README.md" | head -1)
model_service=$(sed -n 's/^\[service \(.*\)\]$/\1/p' "$example"/deployment/*services.ini | head -1)
plain_service=$(sed -n 's/^\[service \(.*\)\]$/\1/p' "$example"/deployment/*services.ini | tail -1)

request() { # request CALLER_ADDRESS ORDER
  "$mangoridge" call --to "$1" --key "$key" /v1/completions \
    --body "{\"model\": \"$model_service\", \"prompt\": \"Which colours last in the rain?\", \"max_tokens\": 8, \"stream\": true}"
  "$mangoridge" call --to "$1" --key "$key" "/services/$plain_service/orders" --idempotency-key "$2" \
    --body "{\"order\": \"$2\", \"item\": \"chalk\"}"
}

one=$(value "$example/instances/entry-1.ini" caller)
two=$(value "$example/instances/entry-2.ini" caller)
ready() { "$mangoridge" call --to "$1" --key "$key" "/services/$plain_service/stock/chalk"; }
await 20 ready "$one"
await 20 ready "$two"
echo "== a request and an order at entry-1"
request "$one" order-1
echo "== entry-1 is killed; the same at entry-2"
kill -9 "${instance_pid[entry-1]}"
request "$two" order-2
echo "== order-1 again, at entry-2 with the same idempotency key: it does not run twice"
"$mangoridge" call --to "$two" --key "$key" "/services/$plain_service/orders" --idempotency-key order-1 \
  --body '{"order": "order-1", "item": "chalk"}'
echo "== done"
