# Functions shared by the demonstrations: start and stop the small fleet.
# shellcheck shell=sh
bin=build/plain
out=build/demo
control=http://127.0.0.1:19999
store=http://127.0.0.1:18500
platform_pids=
fleet_pids=

# stop PIDS: terminate the processes and wait for them.
stop() {
    for pid in $1; do
        # A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
        kill -CONT "$pid" 2>/dev/null || true
        kill "$pid" 2>/dev/null || true
    done
    for pid in $1; do
        wait "$pid" 2>/dev/null || true
    done
}

# Exit trap: stop all processes and keep the exit status.
cleanup() {
    status=$?
    trap - EXIT
    stop "$fleet_pids"
    stop "$platform_pids"
    exit "$status"
}

# start NAME COMMAND...: run the command in the background with its output in
# NAME.log. Sets $started to its process id.
start() {
    name=$1
    shift
    "$@" >>"$out/$name.log" 2>&1 &
    started=$!
}

start_platform_process() {
    start "$@"
    platform_pids="$started $platform_pids"
}

start_fleet_process() {
    start "$@"
    fleet_pids="$started $fleet_pids"
}

# call [--wait] METHOD URL [BODY]: send an HTTP request and print the reply;
# see standin/control.c.
call() {
    "$bin/standin-control" "$@"
}

# operator ARGUMENT...: run the yuccarun command against the fleet.
operator() {
    "$bin/yuccarun" "$@" --by demo --token-file "$out/operator.token" \
        --daemon http://127.0.0.1:18001 --daemon http://127.0.0.1:18002
}

# write_secret FILE: write 32 random bytes in hexadecimal.
write_secret() {
    od -An -N 32 -tx1 /dev/urandom | tr -d ' \n' >"$1"
}

# start_daemon NUMBER: start daemon a1, a2 or a3.
start_daemon() {
    start_fleet_process "a$1" "$bin/yuccarund" --config "demo/a$1.yaml"
}

wait_ready() {
    call --wait GET "http://127.0.0.1:1800$1/ready"
}

start_platform() {
    mkdir -p "$out"
    rm -f "$out"/*.json "$out"/*.log
    write_secret "$out/peer.key"
    write_secret "$out/operator.token"
    start_platform_process store "$bin/standin-store" 18500
    start_platform_process vmlist "$bin/standin-vmlist" 18501 500
    call --wait GET "$store/count"
    call --wait GET http://127.0.0.1:18501/v1/vms
    start_platform_process upstream "$bin/standin-upstream" --control 19999 --base-port 20000 \
        --store "$store" --vmlist http://127.0.0.1:18501 \
        --entry a1,bengal-1,127.0.0.1,18001 \
        --entry a2,south-1,127.0.0.1,18002 \
        --entry a3,south-2,127.0.0.1,18003
    call --wait GET "$control/count"
}

# Start the three daemons, apply the table and wait until they are ready. Sets
# $a1, $a2 and $a3 to the daemons' process ids.
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

# start_load FILE SEED SECONDS RATE [OPTION...]: send queries in the
# background and write the figures to FILE. Sets $load_pid to the process id.
start_load() {
    file=$1
    load_seed=$2
    load_seconds=$3
    load_rate=$4
    shift 4
    start_fleet_process load "$bin/standin-load" --entries http://127.0.0.1:18001 \
        --entries http://127.0.0.1:18002 --entries http://127.0.0.1:18003 \
        --audit "$control" --seed "$load_seed" --seconds "$load_seconds" \
        --rate "$load_rate" --retries 3 --json "$out/$file" "$@"
    load_pid=$started
}
