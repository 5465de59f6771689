//! The commands: arguments, what each does, and what it prints.

mod apply;
mod arguments;
mod key;
mod render;
mod show;

use std::time::Instant;

use serde_json::{Value, json};

use crate::{
    client::{Client, Error},
    declaration::Faults,
    exit::Exit,
    settings::Settings,
};

pub use arguments::{Arguments, Command};

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Exit code.
    pub exit: Exit,
    /// Output for humans.
    pub text: String,
    /// Output as JSON.
    pub body: Value,
}

impl Outcome {
    /// A command that succeeded.
    fn done(text: String, body: Value) -> Self {
        let exit = Exit::Done;
        Self { exit, text, body }
    }

    /// A command that failed before it sent anything.
    fn failed(text: String) -> Self {
        let body = json!({"outcome": "failed", "detail": text});
        let exit = Exit::Failed;
        Self { exit, text, body }
    }
}

impl From<Faults> for Outcome {
    fn from(faults: Faults) -> Self {
        let list: Vec<String> = faults.0.iter().map(ToString::to_string).collect();
        let body = json!({"outcome": "failed", "faults": list});
        Self {
            exit: Exit::Failed,
            text: faults.to_string(),
            body,
        }
    }
}

impl From<Error> for Outcome {
    fn from(error: Error) -> Self {
        let mut body = json!({"outcome": outcome_name(error.exit()), "detail": error.to_string()});
        if let Error::Refused(problem) = &error {
            body["problem"] = json!(problem);
        }
        Self {
            exit: error.exit(),
            text: render::refusal(&error),
            body,
        }
    }
}

/// Runs a command.
pub async fn run(settings: Settings, command: Command, now: Instant) -> Outcome {
    if let Command::Key(_) = command {
        return key::run(std::io::stdin());
    }
    let timeout = settings.timeout;
    let client = Client::new(settings);
    let outcome = match command {
        Command::Apply(apply) => apply::run(&client, apply, timeout, now).await,
        Command::Diff(diff) => apply::diff(&client, diff).await,
        Command::Get(get) => show::get(&client, get).await,
        Command::Status(_) => show::status(&client).await,
        Command::Explain(explain) => show::explain(&client, explain).await,
        Command::Wait(wait) => apply::wait(&client, wait.revision, timeout, now).await,
        Command::Init(init) => show::init(&client, init).await,
        Command::ReplaceReplica(replace) => show::replace(&client, replace).await,
        Command::Marks(_) => show::marks(&client).await,
        Command::Release(release) => show::release(&client, release).await,
        Command::Key(_) => Ok(key::run(std::io::stdin())),
    };
    outcome.unwrap_or_else(|outcome| outcome)
}

/// The name of an outcome in JSON output.
fn outcome_name(exit: Exit) -> &'static str {
    match exit {
        Exit::Done => "done",
        Exit::Failed => "failed",
        Exit::Usage => "usage",
        Exit::Conflict => "conflict",
        Exit::NotInForce => "not-in-force",
        Exit::Unknown => "unknown",
    }
}
