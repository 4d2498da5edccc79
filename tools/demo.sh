#!/usr/bin/env bash
# Starts example deployments (stand-ins and 4 entry instances) on loopback addresses.
#
#   tools/demo.sh                 runs `mimosapost demo` on each example in turn
#   tools/demo.sh serve EXAMPLE   keeps one example running until SIGINT or SIGTERM
#
# Environment: PYTHON (interpreter), DEMO_TREES (directory of the examples), DEMO_NET (first
# three parts of the instances' addresses), DEMO_PORT and DEMO_CONTROL_PORT (stand-in),
# DEMO_ARGUMENTS (further arguments of `mimosapost demo`).
set -euo pipefail
cd "$(dirname "$0")/.."

PYTHON=${PYTHON:-.venv/bin/python}
DEMO_TREES=${DEMO_TREES:-examples}
DEMO_NET=${DEMO_NET:-127.30.0}
DEMO_PORT=${DEMO_PORT:-8100}
DEMO_CONTROL_PORT=${DEMO_CONTROL_PORT:-8101}
DEMO_ARGUMENTS=${DEMO_ARGUMENTS:-}
# An instance drains for 3 s and ends 10 s after SIGTERM at the latest.
STOP_BOUND_S=15

directory=$(mktemp -d)
standin=
driver=
instances=()
stopping=

# Replaces its (sub)shell, so that $! is the id of the program itself.
run() {
    exec "$PYTHON" -c 'import sys; from mimosapost.commands.entry import main; sys.exit(main())' "$@"
}

# Ends what is still running, by process id, on every way out.
clean_up() {
    local status=$? pid
    trap - EXIT
    for pid in ${instances[@]+"${instances[@]}"} $standin $driver; do
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
# `wait` returns at once on a signal, so the driver runs in the background too.
trap 'stopping=1; [ -z "$driver" ] || kill -TERM "$driver" 2>/dev/null || true' INT TERM

write_settings() { # directory, domains of the instances
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

start() { # example, domains of the instances
    local example=$1 seat clients=()
    shift
    local domains=("$@")
    mkdir -p "$directory/$example"
    write_settings "$directory/$example" "${domains[@]}"
    for seat in 0 1 2 3; do
        clients+=("$DEMO_NET.$((seat + 1))=${domains[$seat]}")
    done
    instances=()
    (run standin "$DEMO_TREES/$example" --network "$example" --port "$DEMO_PORT" \
        --control-port "$DEMO_CONTROL_PORT" --clients "${clients[@]}") \
        >"$directory/$example/standin.log" 2>&1 &
    standin=$!
    for seat in 0 1 2 3; do
        (run serve "$directory/$example/entry-$seat.json") \
            >"$directory/$example/entry-$seat.log" 2>&1 &
        instances+=($!)
    done
}

# Waits until a process has ended and returns its status; 137 if it had to be killed.
await_end() {
    local pid=$1 tries=$((STOP_BOUND_S * 10))
    while kill -0 "$pid" 2>/dev/null && [ "$tries" -gt 0 ]; do
        sleep 0.1
        tries=$((tries - 1))
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid"
}

stop() { # returns 1 if a process did not end with status 0
    local pid status failed=0
    for pid in "${instances[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${instances[@]}"; do
        status=0
        await_end "$pid" || status=$?
        if [ "$status" -ne 0 ]; then
            echo "demo: instance with process id $pid ended with status $status" >&2
            failed=1
        fi
    done
    instances=()
    kill -TERM "$standin" 2>/dev/null || true
    status=0
    await_end "$standin" || status=$?
    standin=
    if [ "$status" -ne 0 ]; then
        echo "demo: the stand-in ended with status $status" >&2
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

drive() { # example; returns the status of `mimosapost demo`
    # shellcheck disable=SC2046,SC2086
    (run demo --instances $(list_instances 8000) --operators $(list_instances 8002) \
        --platform "127.0.0.1:$DEMO_PORT" --control "127.0.0.1:$DEMO_CONTROL_PORT" \
        $DEMO_ARGUMENTS) &
    driver=$!
    local status=0
    wait "$driver" || status=$?
    driver=
    return "$status"
}

failed=0
case ${1:-all} in
    all)
        for example in sapatilha sunbrook; do
            echo "== $example"
            # shellcheck disable=SC2046
            start "$example" $(get_domains "$example")
            drive || failed=1
            stop || failed=1
            if [ "$failed" -ne 0 ]; then echo "demo: $example failed" >&2; fi
            [ -z "$stopping" ] || exit 130
        done
        ;;
    serve)
        example=${2:-sapatilha}
        domains=$(get_domains "$example")
        # shellcheck disable=SC2086
        start "$example" $domains
        echo "stand-in: process $standin, platform 127.0.0.1:$DEMO_PORT, backend servers' control 127.0.0.1:$DEMO_CONTROL_PORT"
        for seat in 0 1 2 3; do
            echo "entry-$seat: process ${instances[$seat]}, callers $DEMO_NET.$((seat + 1)):8000, operators $DEMO_NET.$((seat + 1)):8002"
        done
        echo "settings and logs: $directory/$example"
        while [ -z "$stopping" ]; do sleep 0.2; done
        stop || failed=1
        ;;
    *)
        echo "demo: unknown command $1, expected serve" >&2
        exit 2
        ;;
esac
exit "$failed"
