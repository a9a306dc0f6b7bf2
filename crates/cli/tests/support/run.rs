//! Runs the command line.

use std::process;

/// Key of the operator that the fake knows.
pub(crate) const OPERATOR_KEY: &str = "operator-key-of-the-test";

/// What a finished command said.
pub(crate) struct Said {
    pub(crate) exit: Option<i32>,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Runs the command line with `args` and the operator key in the environment.
pub(crate) fn run(args: &[&str]) -> Said {
    run_with(args, &[("AZUREGAP_OPERATOR_KEY", OPERATOR_KEY), ("AZUREGAP_KEY", "team-key")])
}

/// Runs the command line with `args` and nothing but `variables` in the environment.
pub(crate) fn run_with(args: &[&str], variables: &[(&str, &str)]) -> Said {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_azuregap"));
    command.args(args).env_clear().envs(variables.iter().copied());
    command.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    let output = command.output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    Said { exit: output.status.code(), out: text(output.stdout), err: text(output.stderr) }
}
