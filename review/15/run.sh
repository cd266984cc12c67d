#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 runs it without the disruption.
PROGRAM=permits
. "$(dirname "$0")/../common-3/run.sh"
