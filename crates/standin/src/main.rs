//! `citron-standin`: fakes at the router's interfaces, and a load driver.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    citron_standin::cli::run()
}
