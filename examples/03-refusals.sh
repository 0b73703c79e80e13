#!/bin/bash
# Each refusal has Sas-Outcome (whether the request ran) and Sas-Reason; each
# reason has a counter.
source "$(dirname "$0")/start.sh"

say "no request was sent to a backend server: not-run"
curl -si "$CALLER/s/nowhere/x" | grep -i '^sas-'
curl -si -H "Sas-Deadline-Ms: soon" "$CALLER/s/hello/x" | grep -i '^sas-'

say "the backend servers close their connections within the answer"
curl -si "$CALLER/s/hello/x?bytes=3000&fault=short" | grep -i '^sas-'

say "a large answer breaks off: the caller's connection is closed as well"
if curl -sf -o "$WORK/part" "$CALLER/s/hello/x?bytes=3000000&fault=short"; then
    echo "curl took the answer for complete" >&2
    exit 1
fi
echo "curl saw that it was incomplete"

say "the counters"
curl -sf "$ADMIN/metrics" | grep '^sas_refusals_total' | grep -v ' 0$'
