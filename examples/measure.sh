#!/usr/bin/env bash
# Measures what one entry host adds to calling an engine directly, in one run:
# latency, processor time for each relayed event, memory for each open stream.
# Usage: measure.sh BIN_DIR
set -euo pipefail
bin=${1:?usage: measure.sh BIN_DIR}
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
pids=()
finish() {
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$work"
}
trap finish EXIT
settings=$here/cooperative/settings.yaml
run() { # token-time
	(cd "$work" && exec "$bin/linenscale-lab" serve --settings "$settings" --token-time "$1" >/dev/null 2>"$work/lab.log") &
	lab=$!
	pids+=($lab)
}
run 2ms
for host in ikeja-1 wuse-1 nassarawa-1; do
	(cd "$work" && exec "$bin/linenscaled" --settings "$settings" --host "$host" --log-level warn 2>"$work/$host.log") &
	pids+=($!)
	[ "$host" = ikeja-1 ] && gateway=$!
done
for _ in $(seq 200); do curl -fs -o /dev/null http://127.10.1.1:7100/readyz && break; sleep 0.1; done
cpu() { awk '{print ($14 + $15) * 10}' "/proc/$gateway/stat"; } # milliseconds
rss() { awk '/^VmRSS/ {print $2}' "/proc/$gateway/status"; }    # KiB
url=http://127.10.1.1:7100/services/review-assistant/v1/chat/completions
direct=http://127.10.1.101:8000/v1/chat/completions
load() { "$bin/linenscale-lab" load --model gerber-review-14b --home lagos "$@"; }

echo "== latency, 20 requests a second of 5 tokens: direct, then through the gateway"
load --direct "$direct" --gateway "$url" --rate 20 --time 2s --tokens 5 >/dev/null
load --direct "$direct" --gateway "$url" --rate 100 --time 10s --tokens 5

echo "== processor time, ${RATE:=150} streams a second of ${TOKENS:=100} tokens"
before=$(cpu)
load --gateway "$url" --rate "$RATE" --time 10s --tokens "$TOKENS" --parallel 2048 | tee "$work/load.txt"
after=$(cpu)
events=$(awk '$1 == "gateway" {print $6 * 10}' "$work/load.txt")
echo "processor time $((after - before)) ms for about $events events: $((events * 1000 / (after - before))) events a second for each core"

echo "== memory, open streams"
idle=$(rss)
kill -TERM "$lab"
wait "$lab" 2>/dev/null || true
sed 's/slots: 8/slots: 1000/' -i "$work"/nothing 2>/dev/null || true
run 100ms
sleep 2
load --gateway "$url" --rate 45 --time 6s --tokens 60 --parallel 4096 >/dev/null &
loader=$!
sleep 5
open=$(curl -s http://127.10.1.1:7400/metrics | awk '/^linenscale_in_flight/ {n += $2} END {print n}')
full=$(rss)
wait "$loader" || true
echo "$open open streams, $(((full - idle) * 1024 / (open > 0 ? open : 1))) bytes of resident memory for each"
