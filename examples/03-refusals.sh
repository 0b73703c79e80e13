#!/bin/bash
# Every refusal says by Sas-Outcome whether the request ran, and why by
# Sas-Reason; each reason has a counter.
source "$(dirname "$0")/start.sh"

say "nothing was sent: not-run"
curl -si "$CALLER/s/nowhere/x" | grep -i '^sas-'
curl -si -H "Sas-Deadline-Ms: soon" "$CALLER/s/hello/x" | grep -i '^sas-'

say "the backend servers end their connections before the whole answer"
curl -si "$CALLER/s/hello/x?bytes=3000&fault=short" | grep -i '^sas-'

say "a large answer breaks after its first part: the connection breaks too"
if curl -sf -o "$WORK/part" "$CALLER/s/hello/x?bytes=3000000&fault=short"; then
    echo "this looked whole" >&2
    exit 1
fi
echo "curl saw that it was not whole"

say "the counters"
curl -sf "$ADMIN/metrics" | grep '^sas_refusals_total' | grep -v ' 0$'
