#!/bin/bash
# Runs the simulations of docs/notes-placement.md.
#
#     place_matrix.sh DRIVER DIRECTORY [JOBS [POLICIES]]
#
# DRIVER is the place_driver program, DIRECTORY gets one file per run, JOBS is
# the number of parallel runs (3), POLICIES replaces every list of policies.
set -eu
driver=$1
out=$2
mkdir -p "$out"
all="jsq,held,random,round-robin,least-in-flight,two-choices,least-load,cone,owned,owned+loan,owned-first"
few="jsq,held,least-in-flight,two-choices,least-load,cone,owned,owned+loan,owned-first"
own="held,owned,owned+loan,owned-first"
[ -z "${4:-}" ] || { all=$4; few=$4; own=$4; }
{
    for nodes in 3 9; do
        for load in 50 80 95 120; do
            echo "load-$nodes-$load --nodes $nodes --load $load --policies $all"
        done
        for load in 80 95; do
            echo "lognormal-$nodes-$load --nodes $nodes --load $load --shape lognormal --policies $few"
        done
        for report in late zero one-zero random; do
            echo "report-$nodes-$report --nodes $nodes --report $report --policies $few"
        done
        for fault in slow cold; do
            echo "fault-$nodes-$fault --nodes $nodes --load 80 --fault $fault --policies $few"
        done
        for wait in 0 20 50 100 200 500 1000; do
            for load in 95 120; do
                echo "wait-$nodes-$load-$wait --nodes $nodes --load $load --wait $wait --policies $own"
            done
        done
        for queue in 0 1 2 4 6; do
            echo "queue-$nodes-$queue --nodes $nodes --queue $queue --policies $few"
        done
        for skew in 2 4; do
            echo "skew-$nodes-$skew --nodes $nodes --load 80 --skew $skew --policies $own"
        done
        for tries in 3 8; do
            echo "tries-$nodes-$tries --nodes $nodes --tries $tries --policies ${4:-two-choices,least-load,cone,owned-first}"
        done
        echo "even-$nodes --nodes $nodes --near 0.5 --far 0.5 --policies $few"
    done
} | xargs -P "${3:-3}" -L 1 bash -c 'out=$1; driver=$2; name=$3; shift 3; "$driver" "$@" >"$out/$name.txt"' _ "$out" "$driver"
