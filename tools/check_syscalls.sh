#!/usr/bin/env bash
# Runs the binary under strace and checks that it makes no forbidden system call.
# Usage: check_syscalls.sh [BINARY]. PYTHON names the interpreter of binary and check.
# CHECK_NETWORK names the first two numbers of the loopback addresses that are used.
set -euo pipefail
cd "$(dirname "$0")/.."
binary=$(realpath "${1:-dist/mimosapost}")
# The path of the program itself: a shim or env would be an execve of its own.
python=$("${PYTHON:-python3.11}" -c 'import os, sys; print(os.path.realpath(sys.executable))')
network=${CHECK_NETWORK:-127.50}
# A library that reads the process's own environment must not differ between machines.
unset PYTHONPATH PYTHONHOME SHIV_FORCE_EXTRACT

folder=$(mktemp -d)
memory=$(mktemp -d -p /dev/shm)
export SHIV_ROOT=$memory/root
children=()
clean() {
    local pid
    for pid in "${children[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$folder" "$memory"
}
trap clean EXIT

calls='/^(io_uring_|exec|clone|v?fork|open|creat|link|symlink|rename|mkdir|mknod|unlink|rmdir|truncate|memfd_create)'
failed=0

trace() {
    strace -f -s 4096 -e signal=none -e "trace=$calls" -e quiet=attach \
        -o "$1" "$python" -IB "$binary" "${@:2}"
}

judge() {
    local name=$1 file=$2
    shift 2
    echo "$name"
    "$python" -IB tools/check_trace.py "$@" "$file" || failed=1
}

trace "$folder/first" check examples/sapatilha examples/sunbrook examples/local.json
judge "check, first start (unpacks to $SHIV_ROOT)" "$folder/first" --unpack-root "$SHIV_ROOT"
trace "$folder/check" check examples/sapatilha examples/sunbrook examples/local.json
judge "check" "$folder/check"

cp -r examples/sapatilha "$folder/tree"
sed -i "s/\"127\.10\./\"$network./" "$folder"/tree/teams/*.json
sed "s/127\.0\.0\.1/$network.0.1/; /seed_peers/,/]/d" examples/local.json >"$folder/local.json"

"$python" -IB "$binary" standin "$folder/tree" --host "$network.0.1" \
    --clients "$network.0.1=porto-a" >"$folder/standin.log" 2>&1 &
children+=($!)
trace "$folder/serve" serve "$folder/local.json" >"$folder/serve.log" 2>&1 &
tracer=$!
children+=("$tracer")

# 60 attempts a second apart; an instance is ready after its waiting period of some seconds.
ready=""
for _ in $(seq 60); do
    if curl -fsS -o "$folder/ready" "http://$network.0.1:8000/readyz" 2>/dev/null; then
        ready=yes
        break
    fi
    sleep 1
done
if [ -z "$ready" ]; then
    echo "serve: not ready"
    tail -n 20 "$folder/standin.log" "$folder/serve.log"
    exit 1
fi
complete=0
for number in 1 2 3 4 5; do
    curl -fsS "http://$network.0.1:8000/v1/services/courier/query" \
        -H 'X-Caller: courier-desk' -H 'Authorization: Bearer demo-courier-desk' \
        -H 'Content-Type: application/json' \
        -d "{\"request\": {\"number\": $number}, \"repeatable\": true}" >"$folder/answer" || true
    grep -q '"run":"ran"' "$folder/answer" && complete=$((complete + 1))
done
curl -fsS -o /dev/null "http://$network.0.1:8002/metrics"
curl -fsS -o /dev/null "http://$network.0.1:8002/status"
# The first line of the trace begins with the id of the traced process; strace itself would
# detach at SIGTERM.
kill -TERM "$(head -n 1 "$folder/serve" | cut -d ' ' -f 1)"
wait "$tracer" || true
judge "serve ($complete of 5 queries answered)" "$folder/serve"
if [ "$complete" -ne 5 ]; then
    tail -n 5 "$folder/serve.log" "$folder/answer"
    failed=1
fi
[ "$failed" -eq 0 ] && echo "check-syscalls: passed" || echo "check-syscalls: FAILED"
exit "$failed"
