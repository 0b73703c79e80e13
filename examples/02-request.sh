#!/bin/bash
# Forwards /s/SERVICE/PATH to a backend server as /PATH and returns its answer
# unchanged.
source "$(dirname "$0")/start.sh"

say "Sas-Backend and Sas-Region name the server that answered"
curl -sif "$CALLER/s/hello/greeting?lang=fr"
echo

say "a request with a body"
curl -sf --data "a note" "$CALLER/s/hello/notes"
echo

say "no answer before the deadline: 504, Sas-Outcome and Sas-Reason"
curl -si -H "Sas-Deadline-Ms: 300" "$CALLER/s/hello/slow?fault=hang"
