#!/usr/bin/env bash
# Shows the case; see ../run-case.sh.
exec "$(dirname "$0")/../run-case.sh" 5
