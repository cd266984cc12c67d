# Runs one program of the review; sourced by review/N/run.sh, which sets PROGRAM.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
repository="$(cd "$here/../.." && pwd)"
program="$repository/target/review-3/$PROGRAM"
if [ ! -x "$program" ] || [ ! -x "$repository/target/apricotgw" ]; then
  echo "build first: the build of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
temporary="$(mktemp -d)"
export REPOSITORY="$repository" TEMPORARY="$temporary" RECORD="$here/record.txt"
timeout 118 "$program"
status=$?
case $status in 0 | 1 | 2) ;; *) status=2 ;; esac
[ -n "${KEEP_LOGS:-}" ] && cp "$temporary"/*.log "$KEEP_LOGS"/
rm -rf "$temporary"
exit $status
