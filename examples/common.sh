# What the scripts share: a work folder, the processes started, and their end.

work=$(mktemp -d)
pids=()

finish() {
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$work"
}
trap finish EXIT

start() { # name command...; started holds its process ID
	local name=$1
	shift
	(cd "$work" && exec "$@") >"$work/$name.out" 2>"$work/$name.log" &
	started=$!
	pids+=("$started")
	printf '%s\n' "$started" >"$work/$name.pid"
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
