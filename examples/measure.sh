#!/usr/bin/env bash
# Measures what one entry host adds to calling an engine directly, in one run:
# latency, processor time for each relayed event, memory for each open stream.
# Usage: measure.sh BIN_DIR
set -euo pipefail
bin=${1:?usage: measure.sh BIN_DIR}
here=$(cd "$(dirname "$0")" && pwd)
source "$here/common.sh"
settings=$here/cooperative/settings.yaml
start lab "$bin/linenscale-lab" serve --settings "$settings" --token-time 2ms
lab=$started
for host in wuse-1 nassarawa-1 ikeja-1; do
	start "$host" "$bin/linenscaled" --settings "$settings" --host "$host" --log-level warn
done
gateway=$started
ready http://127.10.1.1:7100/readyz
cpu() { awk '{print ($14 + $15) * 10}' "/proc/$gateway/stat"; } # milliseconds
rss() { awk '/^VmRSS/ {print $2}' "/proc/$gateway/status"; }    # KiB
url=http://127.10.1.1:7100/services/review-assistant/v1/chat/completions
direct=http://127.10.1.101:8000/v1/chat/completions
load() { "$bin/linenscale-lab" load --model gerber-review-14b --home lagos "$@"; }

echo "== latency, 20 requests a second of 5 tokens: direct, then through the gateway"
load --direct "$direct" --gateway "$url" --rate 20 --time 2s --tokens 5 >/dev/null
load --direct "$direct" --gateway "$url" --rate 100 --time 10s --tokens 5

echo "== processor time, ${RATE:=80} streams a second of ${TOKENS:=200} tokens"
before=$(cpu)
load --gateway "$url" --rate "$RATE" --time 10s --tokens "$TOKENS" --parallel 2048 | tee "$work/load.txt"
after=$(cpu)
events=$(awk -v tokens="$TOKENS" '$1 == "gateway" {print $3 * (tokens + 1)}' "$work/load.txt")
echo "processor time $((after - before)) ms for about $events events: $((events * 1000 / (after - before))) events a second for each core"

echo "== memory, open streams (engines of the example with 1000 slots each)"
for pid in "${pids[@]}"; do kill -TERM "$pid"; done
for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
pids=()
cp -r "$here/cooperative" "$work/wide"
sed -i 's/slots: 8/slots: 1000/' "$work"/wide/declarations/*.yaml
settings=$work/wide/settings.yaml
start lab "$bin/linenscale-lab" serve --settings "$settings" --token-time 250ms
rm -rf "$work/data"
for host in wuse-1 nassarawa-1 ikeja-1; do
	start "$host" env GOMAXPROCS=1 "$bin/linenscaled" --settings "$settings" --host "$host" --log-level warn
done
gateway=$started
ready http://127.10.1.1:7100/readyz
sleep 2
idle=$(rss)
load --gateway "$url" --rate 250 --time 10s --tokens 60 --parallel 6000 >/dev/null &
loader=$!
sleep 9
open=$(curl -s http://127.10.1.1:7400/metrics | awk '/^linenscale_in_flight/ {n += $2} END {print n}')
full=$(rss)
wait "$loader" || true
echo "$open open streams, $(((full - idle) * 1024 / (open > 0 ? open : 1))) bytes of resident memory for each"
