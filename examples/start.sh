# Sourced by the numbered examples: starts one entry VM and two backend
# servers in each of two regions on loopback, on free ports, and stops them
# when the example ends. SAS_BUILD names the build folder (../build).
#
# Sets CALLER and ADMIN (http://ip:port of the entry VM), STANDIN (the same for
# the control port of the backend servers), WORK (a temporary folder), NODE
# (the daemon's process id) and the function ctl (sassafrassillctl for this
# entry VM).
set -eu
HERE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
BUILD=${SAS_BUILD:-$HERE/../build}
WORK=$(mktemp -d)
PIDS=()

stop_all() {
    kill "${PIDS[@]}" 2>/dev/null || true
    wait "${PIDS[@]}" 2>/dev/null || true
    rm -rf "$WORK"
}
trap stop_all EXIT

say() {
    printf '\n# %s\n' "$*"
}

# Runs a command until it succeeds; fails after 20 s.
wait_for() {
    for _ in $(seq 200); do
        if "$@" >/dev/null 2>&1; then
            return
        fi
        sleep 0.1
    done
    echo "timeout after 20 s: $*" >&2
    return 1
}

"$BUILD/bin/sas_backend_standin" --servers 4 --slots 3 --name hello \
    --mean-ms 5 >"$WORK/standin" 2>"$WORK/standin.log" &
PIDS+=($!)
wait_for grep -q CONTROL "$WORK/standin"
STANDIN=http://127.0.0.1:$(awk '$1 == "CONTROL" {print $2}' "$WORK/standin")

read -r CALLER_PORT PEER_PORT ADMIN_PORT < <(python3 - <<'END'
import socket
held = [socket.socket() for _ in range(3)]
for one in held:
    one.bind(("127.0.0.1", 0))
print(*[one.getsockname()[1] for one in held])
END
)
CALLER=http://127.0.0.1:$CALLER_PORT
ADMIN=http://127.0.0.1:$ADMIN_PORT

cat >"$WORK/settings.toml" <<END
[store]
embedded = true
[limits]
drain_notice_ms = 1000
[[region]]
name = "north"
[[region]]
name = "south"
[[block]]
network = "127.0.0.0/8"
home = "north"
[[entry_vm]]
name = "entry-1"
failure_domain = "north"
ip = "127.0.0.1"
caller_port = $CALLER_PORT
peer_port = $PEER_PORT
admin_port = $ADMIN_PORT
[[service]]
name = "hello"
once = ["/orders"]
END
awk '$1 == "PORT" {
    region = NR % 2 == 1 ? "north" : "south"
    printf "[[backend_server]]\nname = \"%s\"\nfailure_domain = \"%s\"\n", $2,
        region
    printf "ip = \"127.0.0.1\"\nport = %s\nslots = 3\n", $3
}' "$WORK/standin" >>"$WORK/settings.toml"

"$BUILD/bin/sassafrassilld" --settings "$WORK/settings.toml" \
    2>"$WORK/node.log" &
NODE=$!
PIDS+=("$NODE")
wait_for curl -sf "$CALLER/v1/health"

ctl() {
    "$BUILD/bin/sassafrassillctl" --node "127.0.0.1:$ADMIN_PORT" "$@"
}
