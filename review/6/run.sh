#!/bin/sh
# Starts gateways and rank agents before a group of ranks; see claim.txt.
exec python3 "$(dirname "$0")/case.py"
