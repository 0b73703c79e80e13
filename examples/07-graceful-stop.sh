#!/bin/bash
# Graceful shutdown on SIGTERM: the request in progress gets its complete
# answer, then the process exits with status 0.
source "$(dirname "$0")/start.sh"

curl -sf "$CALLER/s/hello/photo?ms=2500&bytes=2000000" -o "$WORK/photo" &
PHOTO=$!
is_running() {
    curl -sf "$STANDIN/counts" | grep -q '"started":1'
}
wait_for is_running
say "SIGTERM"
kill -TERM "$NODE"
wait "$PHOTO"
say "the answer: $(wc -c <"$WORK/photo") bytes"
[ "$(wc -c <"$WORK/photo")" = 2000000 ]
wait "$NODE"
say "the daemon exited with status $?"
grep node.stop "$WORK/node.log"
