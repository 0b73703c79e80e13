#!/bin/bash
# Regenerates the XDR code of the .x files with rpcgen (package rpcsvc-proto).
set -eu
cd "$(dirname "$0")"
for name in peer_rpc mesh; do
    header=include/sas/generated/$name.h
    source=src/generated/${name}_xdr.c
    rm -f "$header" "$source"
    rpcgen -h -o "$header" $name.x
    rpcgen -c -o "$source" $name.x
    sed -i "s|#include \"$name.h\"|#include \"sas/generated/$name.h\"|" "$source"
done
