#!/usr/bin/env bash
# Runs the binary under strace and checks that it makes no forbidden system call.
# Usage: check_syscalls.sh [BINARY]
# Environment: PYTHON (interpreter that runs the binary and the check), CHECK_NETWORK (first two
# octets of the loopback addresses to use; by default some that are free).
set -euo pipefail
cd "$(dirname "$0")/.."
binary=$(realpath "${1:-dist/mimosapost}")
# Resolved to the interpreter itself, because a shim or env would add an execve to the trace.
python=$("${PYTHON:-python3.11}" -c 'import os, sys; print(os.path.realpath(sys.executable))')
# Two checks at the same time must not use the same addresses: the instance of the second one
# would end at once, because it cannot listen.
find_network() {
    "$python" -IB - <<'EOF'
import random, socket
while True:
    prefix = f"127.{random.randrange(60, 250)}"
    try:
        for port in (8000, 8001, 8002):
            socket.create_server((f"{prefix}.0.1", port)).close()
    except OSError:
        continue
    print(prefix)
    break
EOF
}
network_prefix=${CHECK_NETWORK:-$(find_network)}
# Python and its libraries read these variables from the environment. They are unset so that the
# check runs the same on every machine.
unset PYTHONPATH PYTHONHOME SHIV_FORCE_EXTRACT

folder=$(mktemp -d)
memory_folder=$(mktemp -d -p /dev/shm)
export SHIV_ROOT=$memory_folder/root
child_pids=()
# Sends SIGTERM to the traced process, whose id begins the first line of the trace. strace itself
# would detach from the process on SIGTERM, and the process would keep its addresses.
stop_traced() {
    [ -s "$folder/serve" ] && kill -TERM "$(head -n 1 "$folder/serve" | cut -d ' ' -f 1)" 2>/dev/null
}
clean_up() {
    local pid
    stop_traced || true
    for pid in "${child_pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$folder" "$memory_folder"
}
trap clean_up EXIT

traced_calls='/^(io_uring_|exec|clone|v?fork|open|creat|link|symlink|rename|mkdir|mknod|unlink|rmdir|truncate|memfd_create)'
failed=0

# Runs the binary with the given arguments and writes its trace to the file $1.
trace() {
    strace -f -s 4096 -e signal=none -e "trace=$traced_calls" -e quiet=attach \
        -o "$1" "$python" -IB "$binary" "${@:2}"
}

# Prints the title $1 and checks the trace file $2; further arguments go to check_trace.py.
check_trace_file() {
    local title=$1 trace_file=$2
    shift 2
    echo "$title"
    "$python" -IB tools/check_trace.py "$@" "$trace_file" || failed=1
}

trace "$folder/first" check examples/sapatilha examples/sunbrook examples/local.json
check_trace_file "check, first start (unpacks to $SHIV_ROOT)" "$folder/first" --unpack-root "$SHIV_ROOT"
trace "$folder/check" check examples/sapatilha examples/sunbrook examples/local.json
check_trace_file "check" "$folder/check"

cp -r examples/sapatilha "$folder/tree"
sed -i "s/\"127\.10\./\"$network_prefix./" "$folder"/tree/teams/*.json
sed "s/127\.0\.0\.1/$network_prefix.0.1/; /seed_peers/,/]/d" examples/local.json >"$folder/local.json"

# The control address of the servers is on 127.0.0.1; nothing here uses it, so any port will do.
"$python" -IB "$binary" standin "$folder/tree" --host "$network_prefix.0.1" --control-port 0 \
    --clients "$network_prefix.0.1=porto-a" >"$folder/standin.log" 2>&1 &
child_pids+=($!)
trace "$folder/serve" serve "$folder/local.json" >"$folder/serve.log" 2>&1 &
tracer_pid=$!
child_pids+=("$tracer_pid")

# Make up to 60 attempts one second apart, because an instance reports ready only after a waiting period
# of some seconds.
ready=""
for _ in $(seq 60); do
    if curl -fsS -o "$folder/ready" "http://$network_prefix.0.1:8000/readyz" 2>/dev/null; then
        ready=yes
        break
    fi
    sleep 1
done
if [ -z "$ready" ]; then
    echo "serve: not ready after 60 attempts on /readyz"
    tail -n 20 "$folder/standin.log" "$folder/serve.log"
    exit 1
fi
answered_count=0
for request_number in 1 2 3 4 5; do
    curl -fsS "http://$network_prefix.0.1:8000/v1/services/courier/query" \
        -H 'X-Caller: courier-desk' -H 'Authorization: Bearer demo-courier-desk' \
        -H 'Content-Type: application/json' \
        -d "{\"request\": {\"number\": $request_number}, \"repeatable\": true}" >"$folder/answer" || true
    grep -q '"run":"ran"' "$folder/answer" && answered_count=$((answered_count + 1))
done
curl -fsS -o /dev/null "http://$network_prefix.0.1:8002/metrics"
curl -fsS -o /dev/null "http://$network_prefix.0.1:8002/status"
stop_traced || { echo "serve: the instance ended by itself"; tail -n 20 "$folder/serve.log"; }
wait "$tracer_pid" || true
check_trace_file "serve ($answered_count of 5 queries answered)" "$folder/serve"
if [ "$answered_count" -ne 5 ]; then
    tail -n 5 "$folder/serve.log" "$folder/answer"
    failed=1
fi
[ "$failed" -eq 0 ] && echo "check-syscalls: passed" || echo "check-syscalls: FAILED"
exit "$failed"
