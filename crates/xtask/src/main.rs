//! Maintenance of generated code.
//!
//! `xtask proto` regenerates the Rust types of `crates/wire/proto`; with
//! `--check` it only compares them with the committed files. The generator is
//! pure Rust, and the build itself never runs it.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use derive_more::{Display, Error, From};
use gumdrop::Options;

/// Schema files, relative to the schema folder.
const SCHEMAS: [&str; 2] = ["frame.proto", "member.proto"];

/// Arguments of the program.
#[derive(Debug, Options)]
struct Arguments {
    /// Show this help.
    help: bool,
    /// Task to run.
    #[options(command)]
    task: Option<Task>,
}

/// What to do.
#[derive(Debug, Options)]
enum Task {
    /// Generate the types of the wire messages.
    Proto(Proto),
}

/// Arguments of the task `proto`.
#[derive(Debug, Options)]
struct Proto {
    /// Show this help.
    help: bool,
    /// Only check that the committed files are current.
    #[options(no_short)]
    check: bool,
}

/// Why a task failed.
#[derive(Debug, Display, Error, From)]
enum Failure {
    /// A schema is invalid.
    #[display("{_0}: fix the schema under crates/wire/proto")]
    Schema(protox::Error),
    /// A file could not be read or written.
    #[display("{_0}: check that the work tree is writable")]
    Files(io::Error),
    /// A committed file differs from the generated one.
    #[display("{} is not current: run `cargo run -p citron-xtask -- proto`", _0.display())]
    #[from(skip)]
    #[error(ignore)]
    Stale(PathBuf),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let outcome = match arguments.task {
        Some(Task::Proto(proto)) => generate(proto.check),
        None => {
            eprintln!("xtask: no task given: see --help");
            return ExitCode::from(2);
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("xtask: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn generate(check: bool) -> Result<(), Failure> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let schemas = protox::compile(SCHEMAS, [wire.join("proto")])?;
    let fresh = tempfile::tempdir()?;
    let mut config = prost_build::Config::new();
    config.out_dir(fresh.path());
    config.bytes(["."]);
    config.compile_fds(schemas)?;
    let target = wire.join("src/generated");
    for file in fs::read_dir(fresh.path())? {
        let file = file?;
        let committed = target.join(file.file_name());
        let current = fs::read(file.path())?;
        if fs::read(&committed).is_ok_and(|old| old == current) {
            continue;
        }
        if check {
            return Err(Failure::Stale(committed));
        }
        fs::create_dir_all(&target)?;
        fs::write(committed, current)?;
    }
    Ok(())
}
