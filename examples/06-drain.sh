#!/bin/bash
# A backend server leaves: nothing new reaches it.
source "$(dirname "$0")/start.sh"

who() {
    for _ in $(seq 20); do
        curl -sif "$CALLER/s/hello/x" | tr -d '\r' |
            awk '/^sas-backend/ {print $2}'
    done | sort | uniq -c
}

say "before"
who
ctl drain hello-01 --wait 10
is_quiet() {
    ! who | grep -q hello-01
}
wait_for is_quiet

say "after"
who
ctl sheet show
