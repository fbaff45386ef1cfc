#!/usr/bin/env bash
# Plays every day of bench/days on a deployment and prints one line each: the
# day, its worth, and what it broke. Usage: play.sh FLEETBENCH SITE [WHY]
set -uo pipefail
bench=${1:?usage: play.sh FLEETBENCH SITE [WHY]}
site=${2:?usage: play.sh FLEETBENCH SITE [WHY]}
why=${3:-all of our own days}
here=$(cd "$(dirname "$0")" && pwd)
play() {
	local day=$1 out
	out=$("$bench" run "$site" "$day" --why "$why" --jobs 1 2>&1)
	printf '%-22s %s\n' "$(basename "$day" .toml)" "$(grep -E "^$(basename "$day" .toml) " <<<"$out" | tr -s ' ' | cut -d' ' -f3-6)"
	grep -E '(^| )(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|ORDER|FAILBACK|HOME|EVAC|RECOVER)( |:|$)|ended by themselves|never acked|error:' <<<"$out" | sed 's/^/    /' | head -8
}
export -f play
export bench site why
# Four at a time: more would crowd the machine.
find "$here/days" -name '*.toml' | sort | xargs -P 4 -I{} bash -c 'play {}'
