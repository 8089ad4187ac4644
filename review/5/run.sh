#!/bin/bash
# Plays the case; TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/target/review/Main.class ] && [ -f target/marigoldturn-platform-launcher.jar ] || exit 2
exec java -Dsun.net.httpserver.nodelay=true -Djdk.httpclient.allowRestrictedHeaders=host \
    -cp review/target review.Main stale-upkeep review/5/record.txt
