# Sourced by the demos: starts background processes and stops them when the script exits.
bin=$PWD/bin
run=$(mktemp -d)
pids=()

finish() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$run"
}
trap 'finish' EXIT
trap 'exit 0' INT TERM

start() { # NAME COMMAND...: runs in the background, logs to a file
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
}
