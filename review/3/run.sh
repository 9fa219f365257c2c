#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/ragwortmoor.jar ] && [ -f target/review/CaseOrdered.class ] || exit 2
exec timeout 110 java -Xmx256m -cp target/review CaseOrdered review/3
