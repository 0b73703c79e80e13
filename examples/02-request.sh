#!/bin/bash
# A request goes to a backend server as /PATH; its answer comes back as it is.
source "$(dirname "$0")/start.sh"

say "Sas-Backend and Sas-Region say who answered"
curl -sif "$CALLER/s/hello/greeting?lang=fr"
echo

say "a body goes along"
curl -sf --data "a note" "$CALLER/s/hello/notes"
echo

say "no answer before the deadline: 504, and what is known about it"
curl -si -H "Sas-Deadline-Ms: 300" "$CALLER/s/hello/slow?fault=hang"
