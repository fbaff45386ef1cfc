#!/usr/bin/env bash
# The main job: starts the stand-ins and entry hosts of both associations as
# separate processes on loopback, sends requests through them, prints the
# answers, and ends everything. Usage: demo.sh BIN_DIR
set -euo pipefail

bin=${1:?usage: demo.sh BIN_DIR}
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
pids=()

finish() {
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$work"
}
trap finish EXIT

say() { printf '\n== %s\n' "$*"; }

start() { # name command...
	local name=$1
	shift
	(cd "$work" && exec "$@") >"$work/$name.out" 2>"$work/$name.log" &
	pids+=($!)
	printf '%s\n' "$!" >"$work/$name.pid"
}

ready() { # url
	for _ in $(seq 200); do
		if curl -fs -o /dev/null "$1"; then return 0; fi
		sleep 0.1
	done
	echo "not ready: $1" >&2
	tail -n 5 "$work"/*.log >&2
	exit 1
}

association() { # name first-host...
	local name=$1 control=$2
	shift 2
	start "$name-lab" "$bin/linenscale-lab" serve --settings "$here/$name/settings.yaml" --delay 80ms --platform-lag 1s --control "$control"
	for host in "$@"; do
		start "$host" "$bin/linenscaled" --settings "$here/$name/settings.yaml" --host "$host"
	done
}

source "$here/demo-steps.sh"
