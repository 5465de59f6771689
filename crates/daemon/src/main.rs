//! `citrond`, the router daemon.

use std::process::ExitCode;

use citron_daemon::{
    run,
    settings::{self, Request},
};

/// Exit code for a failure at run time.
const EXIT_FAILED: u8 = 1;

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match Request::read(&arguments, |name| std::env::var(name).ok()) {
        Ok(Request::Help) => print(&settings::help()),
        Ok(Request::Version) => print(concat!("citrond ", env!("CARGO_PKG_VERSION"), "\n")),
        Ok(Request::Check(settings)) => exit(run::check(&settings), EXIT_SETTINGS),
        Ok(Request::Run(settings)) => exit(run::run(settings, None), EXIT_FAILED),
        Err(faults) => {
            eprintln!("{faults}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn print(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

fn exit(outcome: Result<(), run::Failure>, code: u8) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("citrond: {failure}");
            ExitCode::from(code)
        }
    }
}
