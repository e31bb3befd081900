# Shell functions of cases 4 to 8: a small deployment on loopback, of the
# gateways with the command of deploy/system.toml, a store and workers. Source
# this from the repository's root with CASE set to the folder of the case.
# Every process that is started is recorded by its id and ended at the end.

TROUBLE=${TROUBLE:-1}
RECORD=$PWD/$CASE/record.txt
GATEWAY=$PWD/target/bin/hemlockgauge-gateway
STANDINS=$PWD/target/review-2
WORK=$(mktemp -d)
LOG=$WORK/events
PIDS=()
ROUTER_PIDS=()

finish() { # STATUS TEXT: writes the result, ends all processes, exits
  note "result: $2 (exit $1, TROUBLE=$TROUBLE)"
  exit "$1"
}

end_all() {
  rm -f "$WORK/keep-workers"
  local pid
  for pid in "${PIDS[@]}" $(cat "$WORK"/worker-*.pid 2>/dev/null); do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  sort -n -s -k1,1 "$LOG" >"$RECORD" 2>/dev/null
  rm -rf "$WORK"
}
trap end_all EXIT

now_ms() { echo $(($(cut -d' ' -f1 /proc/uptime | tr -d .) * 10)); }
note() { echo "$(now_ms) script $*" | tee -a "$LOG" >&2; }

need() { # PROGRAM...: the case can't run without them
  local program
  for program in "$@"; do
    [ -x "$program" ] || finish 2 "$program is not built"
  done
}

is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

choose_ports() { # sets BASE to the first of 100 ports that nobody listens on
  local try port
  for try in $(seq 1 50); do
    BASE=$((20000 + RANDOM % 100 * 100))
    for port in 0 1 2 3 9 10 11 12 13 14 15 20 21 22 23; do
      is_free $((BASE + port)) || continue 2
    done
    return
  done
  finish 2 "no free ports"
}

start() { # NAME COMMAND...: starts a process, sets STARTED
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  STARTED=$!
  PIDS+=("$STARTED")
}

answers() { # ADDRESS PATH STATUS
  local reply=""
  {
    exec 3<>"/dev/tcp/${1%:*}/${1#*:}" &&
      printf 'GET %s HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n' \
        "$2" >&3 && read -r -t 1 reply <&3
    exec 3>&-
  } 2>/dev/null
  [[ $reply == "HTTP/1.1 $3"* ]]
}

await() { # SECONDS COMMAND...: until the command succeeds
  local tries=$(($1 * 20))
  shift
  while [ $tries -gt 0 ]; do
    "$@" && return 0
    sleep 0.05
    tries=$((tries - 1))
  done
  return 1
}

start_store() {
  STORE=127.0.0.1:$((BASE + 9))
  start store "$STANDINS/store" --listen="$STORE"
  await 5 answers "$STORE" "/api/kv-range?prefix=" 200 ||
    finish 2 "the store does not answer"
}

put() { # KEY DATA: writes an item as the operator does
  exec 4<>"/dev/tcp/${STORE%:*}/${STORE#*:}"
  printf 'PUT /-/item?key=%s HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" ${#2} "$2" >&4
  read -r -t 2 <&4
  exec 4>&-
}

# The settings of a small deployment, as deploy/gateway.ini.template has them.
settings() { # NUMBER FIRST-START
  local ip=127.0.0.$((10 + $1))
  {
    printf '[gateway]\nid = edge-%d\navailability_zone = zone-%s\n' "$1" "$1"
    printf 'callers_listen = %s:%d\n' "$ip" $((BASE + 0))
    printf 'probe_listen = %s:%d\n' "$ip" $((BASE + 1))
    printf 'control_listen = %s:%d\n' "$ip" $((BASE + 2))
    printf 'peer_listen = %s:%d\n' "$ip" $((BASE + 3))
    printf 'stop_grace_ms = 8000\nprocessor_share = 0.25\n\n'
    printf '[store]\naddress = %s\nupstream_heartbeat_ms = 1200\n' "$STORE"
    printf 'revocation_bound_ms = 5000\n\n'
    printf '[retries]\nratio = 0.2\nslack = 52\nwindow_ms = 10000\n\n'
    printf '[peers]\nseeds = 127.0.0.11:%d,127.0.0.12:%d,127.0.0.13:%d\n' \
      $((BASE + 2)) $((BASE + 2)) $((BASE + 2))
    [ "$2" = yes ] && printf 'seed_wait_ms = 1000\n'
    printf '\n[cold_upstreams]\n\n[regions]\n'
    printf 'zone = zone-1:region\nzone = zone-2:region\nzone = zone-3:region\n'
  } >"$WORK/edge-$1.ini"
}

router() { echo "127.0.0.$((10 + $1)):$((BASE + 0))"; } # NUMBER
probe() { echo "127.0.0.$((10 + $1)):$((BASE + 1))"; }  # NUMBER

start_router() { # NUMBER FIRST-START
  settings "$1" "$2"
  HEMLOCKGAUGE_BOOT=$WORK/edge-$1.ini start "edge-$1" "$GATEWAY"
  ROUTER_PIDS[$1]=$STARTED
}

start_routers() { # FIRST-START
  local i
  for i in 1 2 3; do start_router $i "$1"; done
  for i in 1 2 3; do
    await 10 answers "$(probe $i)" /readyz 200 ||
      finish 2 "router $i is not ready"
  done
}

worker_address() { echo "127.0.0.1:$((BASE + 10 + $1))"; } # NUMBER

# Starts a worker. With FOREVER=yes it starts again under a new id 2.5 s after
# each crash, as the pages say.
start_worker() { # NUMBER SERVICE FLAGS...
  local number=$1 service=$2
  shift 2
  touch "$WORK/keep-workers"
  (
    trap - EXIT
    life=1
    while [ -e "$WORK/keep-workers" ]; do
      "$STANDINS/worker" --listen="$(worker_address "$number")" \
        --id="i-$number-$life" --service="$service" --store="$STORE" \
        --zone="zone-$((number % 3 + 1))" --record="$LOG" "$@" &
      echo $! >"$WORK/worker-$number.pid"
      wait $! 2>/dev/null
      [ "${FOREVER:-no}" = yes ] || break
      life=$((life + 1))
      sleep 2.5
    done
  ) >>"$WORK/workers.log" 2>&1 &
}

kill_worker() { # NUMBER
  kill -KILL "$(cat "$WORK/worker-$1.pid")"
}

call() { # FLAGS...: consumers; in the background, sets STARTED
  start caller "$STANDINS/caller" --record="$LOG" "$@"
}

# Configuration of one version: a route of each kind to the services "lm" and
# "app".
CONFIG='{"version":7,"routes":[
{"name":"brief","host":"desk.example","prefix":"/brief/","service":"lm","type":"streaming","timeoutMs":15000,"targetLatencyMs":800,"targetGapMs":600,"maxAttempts":2,"priority":1,"resumable":true,"sticky":true},
{"name":"fetch","host":"desk.example","prefix":"/fetch/","service":"app","type":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"maxAttempts":1,"priority":2}],
"services":[{"name":"lm","healthPath":"/healthz","maxConns":360,"engine":{"slots":64,"kvCapacity":232000,"kvTokenBytes":100000,"linkMbps":10000}},
{"name":"app","healthPath":"/healthz","maxConns":96}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":10000,"tokensPerS":390000}}'
