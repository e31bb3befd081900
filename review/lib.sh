# Shell functions of the cases. Source this file in the root of the repository.
# Starts the program of deploy/system.toml as separate processes, with settings
# as the platform renders them from deploy/gateway.ini.template, and ends only
# processes that it started.

declare -A CASE_PID

# Prints the first port of a free range: no listener on 127.0.0.1 to .6.
case_free_ports() {
  local base offset ip
  for _ in $(seq 1 50); do
    base=$((20000 + RANDOM % 10000))
    for offset in 0 1 2 3 $(seq 10 40); do
      for ip in 1 2 3 4 5 6; do
        if (exec 3<>"/dev/tcp/127.0.0.$ip/$((base + offset))") 2>/dev/null; then
          continue 3
        fi
      done
    done
    echo "$base"
    return 0
  done
  return 1
}

# Machine NUMBER is at 127.0.0.NUMBER. The figures are those of ponte-stage.
case_settings() { # NUMBER BOOTSTRAP(yes|no)
  local ip=127.0.0.$1 zones=(torino-a torino-b milano-c brescia-d)
  local zone=${zones[$((($1 - 1) % 4))]}
  cat <<EOF
[gateway]
id = edge-$zone-$1
availability_zone = $zone
callers_listen = $ip:$CASE_PORT
probe_listen = $ip:$((CASE_PORT + 1))
control_listen = $ip:$((CASE_PORT + 2))
peer_listen = $ip:$((CASE_PORT + 3))
stop_grace_ms = 8000
processor_share = 0.25

[store]
address = 127.0.0.1:$((CASE_PORT + 10))
upstream_heartbeat_ms = 1200
revocation_bound_ms = 5000

[retries]
ratio = 0.2
slack = 52
window_ms = 10000

[peers]
seeds = 127.0.0.1:$((CASE_PORT + 2)),127.0.0.2:$((CASE_PORT + 2)),127.0.0.3:$((CASE_PORT + 2))
EOF
  [ "$2" = yes ] && echo "seed_wait_ms = 1000"
  cat <<EOF
[cold_upstreams]
[regions]
zone = torino-a:nord-ovest
zone = torino-b:nord-ovest
zone = milano-c:nord-ovest
zone = brescia-d:nord-ovest
EOF
}

case_start() { # NUMBER BOOTSTRAP
  case_settings "$1" "$2" >"$CASE_DIR/gateway-$1.ini"
  HEMLOCKGAUGE_BOOT="$CASE_DIR/gateway-$1.ini" \
    target/bin/hemlockgauge-gateway >>"$CASE_DIR/gateway-$1.log" 2>&1 &
  CASE_PID[$1]=$!
}

case_kill() { # NUMBER
  kill -KILL "${CASE_PID[$1]}" 2>/dev/null
  wait "${CASE_PID[$1]}" 2>/dev/null
}

case_end() {
  local pid
  for pid in "${CASE_PID[@]}" ${CASE_DRIVER:-}; do
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  if [ -n "${CASE_KEEP:-}" ]; then
    cp "$CASE_DIR"/*.log "$CASE_KEEP"/
  fi
  rm -rf "$CASE_DIR"
}

# Plays a case: starts its program, which does what clients, servers and the
# platform do, and obeys the lines that it prints. Returns the case's result.
case_play() { # FOLDER PROGRAM
  local folder=$1 program=target/review/$2 bootstrap=yes verb numbers number
  if [ ! -x target/bin/hemlockgauge-gateway ] || [ ! -x "$program" ]; then
    echo "not built: run the build of deploy/system.toml and review/build.sh" >&2
    return 2
  fi
  CASE_DIR=$(mktemp -d)
  trap case_end EXIT
  CASE_PORT=$(case_free_ports) || return 2
  mkfifo "$CASE_DIR/asks"
  "$program" "$CASE_PORT" "$folder/record.txt" "${TROUBLE:-1}" \
    >"$CASE_DIR/asks" 2>"$CASE_DIR/driver.log" &
  CASE_DRIVER=$!
  while read -r verb numbers; do
    for number in $numbers; do
      case $verb in
        start) case_start "$number" "$bootstrap" ;;
        kill) case_kill "$number" ;;
        term) kill -TERM "${CASE_PID[$number]}" ;;
        stop) kill -STOP "${CASE_PID[$number]}" ;;
        continue) kill -CONT "${CASE_PID[$number]}" ;;
      esac
    done
    bootstrap=no
  done <"$CASE_DIR/asks"
  wait "$CASE_DRIVER"
  local result=$?
  CASE_DRIVER=
  case $result in
    0 | 1) return $result ;;
    *) return 2 ;;
  esac
}
