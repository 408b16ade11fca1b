# What the demonstrations share: starting and stopping the small fleet.
# shellcheck shell=sh
bin=build/plain
out=build/demo
control=http://127.0.0.1:19999
store=http://127.0.0.1:18500
platform= # process ids
fleet=

# stop PIDS: end the processes and wait for them.
stop() {
    for pid in $1; do
        # A stopped process ends only once it goes on.
        kill -CONT "$pid" 2>/dev/null || true
        kill "$pid" 2>/dev/null || true
    done
    for pid in $1; do
        wait "$pid" 2>/dev/null || true
    done
}

finish() {
    status=$?
    trap - EXIT
    stop "$fleet"
    stop "$platform"
    exit "$status"
}

# start NAME COMMAND...: in the background, its output in NAME.log; its
# process id is left in $started.
start() {
    name=$1
    shift
    "$@" >>"$out/$name.log" 2>&1 &
    started=$!
}

start_platform_part() {
    start "$@"
    platform="$started $platform"
}

start_fleet_part() {
    start "$@"
    fleet="$started $fleet"
}

call() {
    "$bin/standin-control" "$@"
}

operator() {
    "$bin/yuccarun" "$@" --by demo --token-file "$out/operator.token" \
        --daemon http://127.0.0.1:18001 --daemon http://127.0.0.1:18002
}

secret() {
    od -An -N 32 -tx1 /dev/urandom | tr -d ' \n' >"$1"
}

start_daemon() {
    start_fleet_part "a$1" "$bin/yuccarund" --config "demo/a$1.yaml"
}

wait_ready() {
    call --wait GET "http://127.0.0.1:1800$1/ready"
}

start_platform() {
    mkdir -p "$out"
    rm -f "$out"/*.json "$out"/*.log
    secret "$out/peer.key"
    secret "$out/operator.token"
    start_platform_part store "$bin/standin-store" 18500
    start_platform_part vmlist "$bin/standin-vmlist" 18501 500
    call --wait GET "$store/count"
    call --wait GET http://127.0.0.1:18501/v1/vms
    start_platform_part upstream "$bin/standin-upstream" --control 19999 --base-port 20000 \
        --store "$store" --vmlist http://127.0.0.1:18501 \
        --entry a1,bengal-1,127.0.0.1,18001 \
        --entry a2,south-1,127.0.0.1,18002 \
        --entry a3,south-2,127.0.0.1,18003
    call --wait GET "$control/count"
}

# Start the three daemons, their process ids in $a1, $a2 and $a3, and load
# the table.
start_fleet() {
    start_daemon 1
    a1=$started
    start_daemon 2
    a2=$started
    start_daemon 3
    a3=$started
    for i in 1 2 3; do
        call --wait GET "http://127.0.0.1:1800$i/health"
    done
    operator table apply demo/table.yaml
    for i in 1 2 3; do
        wait_ready "$i"
    done
}

# start_load FILE SEED SECONDS RATE [OPTION...]: its process id in $load.
start_load() {
    file=$1
    load_seed=$2
    load_seconds=$3
    load_rate=$4
    shift 4
    start_fleet_part load "$bin/standin-load" --entries http://127.0.0.1:18001 \
        --entries http://127.0.0.1:18002 --entries http://127.0.0.1:18003 \
        --audit "$control" --seed "$load_seed" --seconds "$load_seconds" \
        --rate "$load_rate" --retries 3 --json "$out/$file" "$@"
    load=$started
}
