#!/usr/bin/env bash
# One part of a prompt crashes each worker that begins an answer on it. It stands
# in the 18th place of 20. Exits with 1 if more than three requests with the part
# reach workers later than contactMs after the fifth crash (rule BUDGET). With
# PLACE=3 the part stands in the third place, as a control.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/5
. review/standins-2/fleet.sh
need "$GATEWAY" "$STANDINS/store" "$STANDINS/worker" "$STANDINS/caller"
choose_ports
start_store
put op/config "$CONFIG"
deadly=dead
[ "$TROUBLE" = 0 ] && deadly="" # the part is harmless
for i in 1 2 3 4 5 6; do
  FOREVER=yes start_worker $i lm --event-ms=50 --deadly=$deadly
done
start_routers yes
all="$(router 1),$(router 2),$(router 3)"

prompt() { # ID PLACE: 19 shared parts, the named one at PLACE
  local parts="" i id
  for i in $(seq 1 19); do
    id=a$i
    [ "$i" -eq "$2" ] && id=$1
    parts+="${parts:+,}$id:60"
  done
  echo "$parts"
}
place=${PLACE:-18}

note "sound requests, which share the caller and the other parts, come all the while"
call --routers="$all" --host=desk.example --path=/brief/x --ids=sound- \
  --tokens=1180,36 --parts="$(prompt 50fd "$place")" --body-bytes=900 \
  --count=200 --gap-ms=200 --deadline-ms=4000
note "30 requests with the part in place $place, one each 1.2 s, no two alike"
call --routers="$all" --host=desk.example --path=/brief/x --ids=odd- \
  --tokens=1180,36 --parts="$(prompt dead "$place")" --body-bytes=900 \
  --count=30 --gap-ms=1200 --deadline-ms=4000
wait "$STARTED"

crashes=$(grep -c "worker .* crashes under odd-" "$LOG")
fifth=$(grep "worker .* crashes under odd-" "$LOG" | sort -n |
  awk 'NR == 5 { print $1 }')
late=$(awk -v from="${fifth:-0}" '$2 == "worker" && $4 == "runs" &&
  index($5, "odd-") == 1 && from > 0 && $1 > from + 3000 { n++ }
  END { print n + 0 }' "$LOG")
served=$(grep -c 'caller sent sound-.* status=200 end=complete' "$LOG")
note "$crashes workers crashed; later than 3 s after the fifth crash $late requests with the part reached workers; $served of $(grep -c 'caller sent sound-' "$LOG") sound requests were served"
if [ "$TROUBLE" != 0 ] && [ "$crashes" -lt 3 ]; then
  finish 2 "too few crashes"
fi
[ "$late" -le 3 ] || finish 1 "BUDGET broken"
finish 0 "BUDGET held"
