#!/usr/bin/env bash
# Runs this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/review-2/Case.class ] || exit 2
timeout -k 3 117 java -Xmx128m -Djdk.httpclient.allowRestrictedHeaders=host \
    -cp ../../target/review-2 GangFails "$(cd ../.. && pwd)" record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
