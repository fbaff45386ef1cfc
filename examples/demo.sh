#!/usr/bin/env bash
# The main job: starts the stand-ins and entry hosts of both associations as
# separate processes on loopback, sends requests through them, prints the
# answers, and ends everything. Usage: demo.sh BIN_DIR
set -euo pipefail

bin=${1:?usage: demo.sh BIN_DIR}
here=$(cd "$(dirname "$0")" && pwd)
source "$here/common.sh"

say() { printf '\n== %s\n' "$*"; }

association() { # name first-host...
	local name=$1 control=$2
	shift 2
	start "$name-lab" "$bin/linenscale-lab" serve --settings "$here/$name/settings.yaml" --delay 80ms --platform-lag 1s --control "$control"
	for host in "$@"; do
		start "$host" "$bin/linenscaled" --settings "$here/$name/settings.yaml" --host "$host"
	done
}

source "$here/demo-steps.sh"
