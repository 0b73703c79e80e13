#!/bin/bash
# Drains a backend server: it gets no new requests.
source "$(dirname "$0")/start.sh"

count_by_server() {
    for _ in $(seq 20); do
        curl -sif "$CALLER/s/hello/x" | tr -d '\r' |
            awk '/^sas-backend/ {print $2}'
    done | sort | uniq -c
}

say "before"
count_by_server
ctl drain hello-01 --wait 10
is_drained() {
    ! count_by_server | grep -q hello-01
}
wait_for is_drained

say "after"
count_by_server
ctl sheet show
