#!/bin/sh
# Compares the tier with the naive tier: runs one after the other with the same seed and load.
#
#   tools/bench.sh DEPLOYMENT SCENARIO [SEED]
#
# DEPLOYMENT: sapatilha, sunbrook or wide. Prints a table that compares the two runs. Their result
# documents, status pages, metrics and logs stay in the scratch folder that the first line prints.
set -eu
deployment=$1
scenario=$2
seed=${3:-1}
python=${PYTHON:-.venv/bin/python}
case $deployment in
    sapatilha) deployment_number=1; network=sapatilha ;;
    sunbrook) deployment_number=2; network=sunbrook ;;
    wide) deployment_number=3; network=sapatilha ;;
    *) echo "bench: unknown deployment $deployment, expected sapatilha, sunbrook or wide" >&2; exit 2 ;;
esac
backend_port=$((9160 + deployment_number))
platform_port=$((8160 + 10 * deployment_number))
control_port=$((platform_port + 1))
folder=$(mktemp -d)
pids=
# Run with `python -c`: a background job must be the program itself, so that $! is the process id
# that stop_all has to signal.
program='from mimosapost.commands.entry import main; raise SystemExit(main())'
stop_all() {
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    for pid in $pids; do wait "$pid" 2>/dev/null || true; done
    pids=
}
trap stop_all EXIT
trap 'exit 130' INT TERM

echo "scratch folder $folder"
clients=$("$python" -m mimosapost.bench.deployments "$folder" --deployment "$deployment" \
    --port "$backend_port" --platform-port "$platform_port")
median=$("$python" -c "from mimosapost.bench.scenarios import find_scenario
print(find_scenario('$scenario', '$deployment').median_ms)")
hosts=$(echo "$clients" | cut -d= -f1)
targets=$(for host in $hosts; do echo "$host:8000"; done)

for side in naive tier; do
    "$python" -c "$program" standin "$folder/tree" --network "$network" \
        --port "$platform_port" --control-port "$control_port" --median-ms "$median" \
        --seed "$seed" --clients $clients >"$folder/$side-standin.log" 2>&1 &
    pids=$!
    # Wait until the stand-in listens, in up to 100 attempts 0.1 s apart: an instance that probes
    # the backend servers before they listen counts them as down.
    for _ in $(seq 100); do
        "$python" -c "import socket
socket.create_connection(('127.0.0.1', $platform_port)).close()
socket.create_connection(('127.0.0.1', $control_port)).close()" 2>/dev/null && break
        sleep 0.1
    done
    seat=0
    for host in $hosts; do
        if [ $side = naive ]; then
            "$python" -c "$program" naive "$folder/tree" \
                --address "$host:8000" --seed "$((seed + seat))" \
                >"$folder/naive-$seat.log" 2>&1 &
        else
            "$python" -c "$program" serve "$folder/instance-$seat.json" \
                >"$folder/tier-$seat.log" 2>&1 &
        fi
        # After the loop, the process id of the last target: the instance that `load` may kill.
        victim=$!
        pids="$pids $victim"
        seat=$((seat + 1))
    done
    "$python" -c "$program" load "$folder/tree" "$scenario" --targets $targets --deployment "$deployment" \
        --control "127.0.0.1:$control_port" --platform "127.0.0.1:$platform_port" \
        --victim "$victim" --side "$side" --seed "$seed" >"$folder/$side.json"
    if [ $side = tier ]; then
        for host in $hosts; do
            for page in status metrics; do
                "$python" -c "import urllib.request as u
print(u.urlopen('http://$host:8002/$page', timeout=5).read().decode())" \
                    >"$folder/$page-$host" 2>/dev/null || true
            done
        done
    fi
    stop_all
done
"$python" -m mimosapost.bench.report report "$folder/naive.json" "$folder/tier.json"
