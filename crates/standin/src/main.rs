//! `citron-standin`: test doubles for the systems around the router, and a load generator.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    citron_standin::cli::run()
}
