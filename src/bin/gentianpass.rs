//! The operators' command. Exits with 1 if the command fails and with 2 if its arguments are wrong.

use std::{io, process::ExitCode};

use clap::Parser;
use gentianpass::cmd;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = cmd::Args::parse();
    match cmd::run(args, io::stdout().lock()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("gentianpass: {err:#}");
            ExitCode::FAILURE
        }
    }
}
