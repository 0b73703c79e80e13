#!/bin/bash
# A sheet sends callers of one region to another.
source "$(dirname "$0")/start.sh"

region() {
    curl -sif "$CALLER/s/hello/x" | tr -d '\r' | awk '/^sas-region/ {print $2}'
}

say "before: $(region)"
cat >"$WORK/sheet.csv" <<END
time,service,from,to,share,cap,drain,limits
+1,hello,north,south,100%,50 req/s,,
END
ctl sheet check "$WORK/sheet.csv"
ctl sheet put "$WORK/sheet.csv" --wait 10
is_south() {
    [ "$(region)" = south ]
}
wait_for is_south
say "after: $(region)"
ctl sheet show
ctl history

say "a sheet with an error is refused as a whole, with the row and column"
echo "+2,hello,north,south,120%,,," >>"$WORK/sheet.csv"
ctl sheet check "$WORK/sheet.csv" && exit 1
echo "exit status 1"
