# Functions that start and stop a whole fleet as processes. Sourced by bin/demo, bin/bench and bin/chaos,
# from the repository's root, after bin/build. Every process is ended by its pid.
#
# fleet_select DEPLOYMENT   sets base, engines, model, key, second_key, rate, job_ms and zones
# fleet_start               starts controllers, engines, nodes and the dispatcher, applies the declaration
# fleet_stop                ends all of them

fleet_select() {
  deployment="$1"
  case "$deployment" in
    souq) base=7000; engines=8; model=souq-lm; key=stall-key; second_key=clerk-key; rate=12; job_ms=8000
          zones=(tanta-hall mansoura-hall zagazig-hall) ;;
    refundnet) base=8000; engines=13; model=refund-llm; key=counter-key; second_key=customs-key; rate=20; job_ms=9000
          zones=(praha-hall-a praha-hall-b brno-hall ostrava-hall) ;;
    *) echo "unknown deployment $deployment" >&2; return 2 ;;
  esac
  run="run/$deployment"
  nodes=()
  local i
  for i in "${!zones[@]}"; do nodes+=("127.0.0.1:$((base + 1 + i))"); done
  node_list="$(IFS=,; echo "${nodes[*]}")"
  operators="127.0.0.1:$((base + 201)),127.0.0.1:$((base + 202)),127.0.0.1:$((base + 203))"
  engine_options=()
  dispatcher_options=()
  node_options=()
  declaration="config/$deployment/declaration.yaml"
}

declare -A pid_of=()

# start NAME COMMAND...: starts a process in the background and remembers its pid.
start() {
  local name="$1"; shift
  "$@" >> "$run/$name.out" 2>> "$run/$name.log" &
  pid_of[$name]=$!
}

start_controller() { # NUMBER
  local i="$1"
  start "controller-$i" bin/pathdeck controller --config "config/$deployment/controller.yaml" \
    --set "id=$i" --set "zone=${zones[$(((i - 1) % ${#zones[@]}))]}" --set "data_folder=$run/controller-$i" \
    --set "operator_listen=127.0.0.1:$((base + 200 + i))" --set "admin_listen=127.0.0.1:$((base + 250 + i))"
}

start_engine() { # NUMBER
  TESTKIT_HEAP=128m start "engine-$1" bin/testkit engine --listen "127.0.0.1:$((base + 300 + $1))" \
    --runs "$run/engine-$1.runs" "${engine_options[@]}"
}

start_node() { # NUMBER
  start "node-$1" bin/pathdeck node --config "config/$deployment/node.yaml" \
    --set "id=node-$1" --set "zone=${zones[$(($1 - 1))]}" --set "listen=127.0.0.1:$((base + $1))" \
    --set "admin_listen=127.0.0.1:$((base + 50 + $1))" "${node_options[@]}"
}

start_dispatcher() {
  start dispatcher-1 bin/pathdeck dispatcher --config "config/$deployment/dispatcher.yaml" "${dispatcher_options[@]}"
}

# is_ready ADMIN_PORT: whether the process answers that it is ready.
is_ready() {
  (exec 3<>"/dev/tcp/127.0.0.1/$1" && printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3 && head -1 <&3 | grep -q ' 200 ') 2>/dev/null
}

# await_ready ADMIN_PORT: waits until the process is ready, at most 20 s.
await_ready() {
  local attempt
  for attempt in $(seq 200); do
    is_ready "$1" && return 0
    sleep 0.1
  done
  echo "the process behind port $1 did not become ready" >&2
  return 1
}

apply_declaration() { # FILE
  local attempt
  for attempt in $(seq 20); do
    bin/pathdeck ctl apply -f "$1" --operator "$operators" > "$run/apply.out" 2>&1 && return 0
    sleep 0.5
  done
  echo "the declaration was not accepted:" >&2
  cat "$run/apply.out" >&2
  return 1
}

fleet_start() {
  local i
  rm -rf "$run"
  mkdir -p "$run"
  for i in 1 2 3 4 5; do start_controller "$i"; done
  for ((i = 1; i <= engines; i++)); do start_engine "$i"; done
  for i in "${!zones[@]}"; do start_node $((i + 1)); done
  start_dispatcher
  apply_declaration "$declaration"
  for i in "${!zones[@]}"; do await_ready $((base + 51 + i)); done
  sleep 1
}

fleet_stop() {
  local name
  for name in "${!pid_of[@]}"; do kill "${pid_of[$name]}" 2>/dev/null || true; done
  for _ in $(seq 100); do
    local alive=0
    for name in "${!pid_of[@]}"; do kill -0 "${pid_of[$name]}" 2>/dev/null && alive=1; done
    [ "$alive" = 0 ] && break
    sleep 0.1
  done
  for name in "${!pid_of[@]}"; do kill -9 "${pid_of[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pid_of=()
}
