#!/usr/bin/env bash
# Starts example deployments, each a stand-in and 4 entry instances, on loopback addresses.
#
#   tools/demo.sh                 runs `mimosapost demo` on each example in turn
#   tools/demo.sh serve EXAMPLE   keeps one example running until SIGINT or SIGTERM
#
# Environment: PYTHON (interpreter), DEMO_TREES (directory of the examples), DEMO_NET (first
# three octets of the instances' addresses), DEMO_PORT and DEMO_CONTROL_PORT (stand-in),
# DEMO_ARGUMENTS (further arguments of `mimosapost demo`).
set -euo pipefail
cd "$(dirname "$0")/.."

PYTHON=${PYTHON:-.venv/bin/python}
DEMO_TREES=${DEMO_TREES:-examples}
DEMO_NET=${DEMO_NET:-127.30.0}
DEMO_PORT=${DEMO_PORT:-8100}
DEMO_CONTROL_PORT=${DEMO_CONTROL_PORT:-8101}
DEMO_ARGUMENTS=${DEMO_ARGUMENTS:-}
# Time after SIGTERM at which a process that still runs is killed. An instance drains for 3 s and
# exits at most 10 s after SIGTERM.
STOP_TIMEOUT_S=15

directory=$(mktemp -d)
standin_pid=
demo_pid=
instance_pids=()
stop_requested=

# Replaces the (sub)shell that calls it, so that $! is the process id of the program itself.
run_mimosapost() {
    exec "$PYTHON" -c 'import sys; from mimosapost.commands.entry import main; sys.exit(main())' "$@"
}

# Kills the remaining processes by id, however the script exits. Keeps the logs after a failure.
clean_up() {
    local status=$? pid
    trap - EXIT
    for pid in ${instance_pids[@]+"${instance_pids[@]}"} $standin_pid $demo_pid; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ "$status" -eq 0 ]; then
        rm -rf "$directory"
    else
        echo "demo: logs are in $directory" >&2
    fi
    exit "$status"
}
trap clean_up EXIT
# `mimosapost demo` runs in the background too: bash handles a signal only after the command in
# the foreground has ended, but at once during `wait`.
trap 'stop_requested=1; [ -z "$demo_pid" ] || kill -TERM "$demo_pid" 2>/dev/null || true' INT TERM

write_settings() { # directory, failure domains of the instances
    local target=$1 seat=0 domain other peers
    shift
    for domain in "$@"; do
        peers=
        for other in 1 2 3 4; do
            [ "$other" -eq $((seat + 1)) ] || peers+="${peers:+, }\"$DEMO_NET.$other:8001\""
        done
        cat >"$target/entry-$seat.json" <<JSON
{
 "name": "entry-$seat",
 "seat": $seat,
 "domain": "$domain",
 "region": "${domain%-a}",
 "caller_address": "$DEMO_NET.$((seat + 1)):8000",
 "peer_address": "$DEMO_NET.$((seat + 1)):8001",
 "operator_address": "$DEMO_NET.$((seat + 1)):8002",
 "config_url": "http://127.0.0.1:$DEMO_PORT",
 "instances_url": "http://127.0.0.1:$DEMO_PORT",
 "seed_peers": [$peers],
 "drain_seconds": 3.0,
 "stop_deadline_seconds": 10.0
}
JSON
        seat=$((seat + 1))
    done
}

start_deployment() { # example, failure domains of the instances
    local example=$1 seat clients=()
    shift
    local domains=("$@")
    mkdir -p "$directory/$example"
    write_settings "$directory/$example" "${domains[@]}"
    for seat in 0 1 2 3; do
        clients+=("$DEMO_NET.$((seat + 1))=${domains[$seat]}")
    done
    instance_pids=()
    (run_mimosapost standin "$DEMO_TREES/$example" --network "$example" --port "$DEMO_PORT" \
        --control-port "$DEMO_CONTROL_PORT" --clients "${clients[@]}") \
        >"$directory/$example/standin.log" 2>&1 &
    standin_pid=$!
    for seat in 0 1 2 3; do
        (run_mimosapost serve "$directory/$example/entry-$seat.json") \
            >"$directory/$example/entry-$seat.log" 2>&1 &
        instance_pids+=($!)
    done
}

# Waits until a process has exited and returns its status; 137 if it had to be killed.
wait_for_exit() {
    local pid=$1 tries=$((STOP_TIMEOUT_S * 10))
    while kill -0 "$pid" 2>/dev/null && [ "$tries" -gt 0 ]; do
        sleep 0.1
        tries=$((tries - 1))
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid"
}

stop_deployment() { # returns 1 if a process did not exit with status 0
    local pid status failed=0
    for pid in "${instance_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${instance_pids[@]}"; do
        status=0
        wait_for_exit "$pid" || status=$?
        if [ "$status" -ne 0 ]; then
            echo "demo: instance with process id $pid exited with status $status" >&2
            failed=1
        fi
    done
    instance_pids=()
    kill -TERM "$standin_pid" 2>/dev/null || true
    status=0
    wait_for_exit "$standin_pid" || status=$?
    standin_pid=
    if [ "$status" -ne 0 ]; then
        echo "demo: the stand-in exited with status $status" >&2
        failed=1
    fi
    return "$failed"
}

get_domains() {
    case $1 in
        sapatilha) echo porto-a braga-a faro-a porto-a ;;
        sunbrook) echo derby-a leeds-a truro-a derby-a ;;
        *) echo "demo: unknown example $1, expected sapatilha or sunbrook" >&2; return 2 ;;
    esac
}

list_instances() { # port
    local seat
    for seat in 1 2 3 4; do echo "$DEMO_NET.$seat:$1"; done
}

run_demo() { # example; returns the status of `mimosapost demo`
    # shellcheck disable=SC2046,SC2086
    (run_mimosapost demo --instances $(list_instances 8000) --operators $(list_instances 8002) \
        --platform "127.0.0.1:$DEMO_PORT" --control "127.0.0.1:$DEMO_CONTROL_PORT" \
        $DEMO_ARGUMENTS) &
    demo_pid=$!
    local status=0
    wait "$demo_pid" || status=$?
    demo_pid=
    return "$status"
}

failed=0
case ${1:-all} in
    all)
        for example in sapatilha sunbrook; do
            echo "== $example"
            # shellcheck disable=SC2046
            start_deployment "$example" $(get_domains "$example")
            run_demo || failed=1
            stop_deployment || failed=1
            if [ "$failed" -ne 0 ]; then echo "demo: $example failed" >&2; fi
            [ -z "$stop_requested" ] || exit 130
        done
        ;;
    serve)
        example=${2:-sapatilha}
        domains=$(get_domains "$example")
        # shellcheck disable=SC2086
        start_deployment "$example" $domains
        echo "stand-in: process $standin_pid, platform 127.0.0.1:$DEMO_PORT, backend servers' control 127.0.0.1:$DEMO_CONTROL_PORT"
        for seat in 0 1 2 3; do
            echo "entry-$seat: process ${instance_pids[$seat]}, callers $DEMO_NET.$((seat + 1)):8000, operators $DEMO_NET.$((seat + 1)):8002"
        done
        echo "settings and logs: $directory/$example"
        while [ -z "$stop_requested" ]; do sleep 0.2; done
        stop_deployment || failed=1
        ;;
    *)
        echo "demo: unknown command $1, expected serve" >&2
        exit 2
        ;;
esac
exit "$failed"
