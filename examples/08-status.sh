#!/bin/bash
# What an operator sees: status, counters, log.
source "$(dirname "$0")/start.sh"

for _ in 1 2 3; do
    curl -sf "$CALLER/s/hello/x" >"$WORK/answer"
done
ctl status
say "as JSON, for scripts"
ctl status --json
say "counters"
ctl counters | grep -E '^sas_(requests|answers)_total'
say "the log"
cat "$WORK/node.log"
