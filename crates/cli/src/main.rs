//! `azuregap`: the command line for people who run or use azuregap.

mod api;
mod args;
mod commands;
mod demo;
mod documents;
mod error;
mod exit;
mod explain;
mod load;
mod render;
mod secret;

use std::process;

use clap::Parser as _;

fn main() -> process::ExitCode {
    let args = args::Args::parse();
    let outcome = actix_rt::System::new().block_on(commands::run(&args));
    match outcome {
        Ok(exit) => exit.into(),
        Err(error) => {
            error.report(args.json);
            error.exit().into()
        }
    }
}
