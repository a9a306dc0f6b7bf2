#!/usr/bin/env bash
# The one entry point for people and CI: ./x help lists what it does.
set -euo pipefail
cd "$(dirname "$0")"

ensure_tools() {
  command -v cargo >/dev/null || { echo "cargo is missing: install the Rust toolchain first" >&2; exit 1; }
  command -v cmake >/dev/null && return
  echo "installing cmake (the nng crate builds its C library with it)" >&2
  apt-get update -qq && apt-get install -y -qq cmake >&2
}

run_tests() {
  if cargo nextest --version >/dev/null 2>&1; then
    cargo test --quiet --workspace --doc
    cargo nextest run --workspace --no-fail-fast "$@"
  else
    cargo test --workspace --no-fail-fast "$@"
  fi
}

case "${1:-help}" in
  demo) ensure_tools; shift; cargo run --quiet --bin azuregap -- demo "$@" ;;
  test) ensure_tools; shift; cargo build --workspace --bins; run_tests "$@" ;;
  bench) ensure_tools; shift; cargo run --quiet --release -p azuregap-bench -- "$@" ;;
  lint)
    ensure_tools
    cargo fmt --all --check
    cargo clippy --workspace --all-targets -- -D warnings
    RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --quiet
    ;;
  *)
    cat <<'T'
./x demo    run the main job on embedded stand-ins
./x test    build and pass the tests
./x lint    formatter, linter and documentation, warnings are errors
./x bench   the measures with their bounds; writes target/bench/
T
    ;;
esac
