//! `citronctl`, the operators' tool.

use std::{env, process::ExitCode, time::Instant};

use citron_ctl::{
    command::{self, Arguments, Command},
    exit::Exit,
    settings::Settings,
};
use gumdrop::{Options, ParsingStyle};

fn main() -> ExitCode {
    env_logger::init();
    let arguments: Vec<String> = env::args().skip(1).collect();
    let variable = |name: &str| env::var(name).ok();
    let (settings, rest) = Settings::read(&arguments, variable);
    let arguments = match Arguments::parse_args(&rest, ParsingStyle::AllOptions) {
        Ok(arguments) => arguments,
        Err(error) => return usage(&format!("{error}: see `citronctl --help`")),
    };
    if arguments.help_requested() {
        println!("{}", help(&arguments));
        return ExitCode::SUCCESS;
    }
    if arguments.version {
        println!("citronctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match settings {
        Ok(settings) => settings,
        Err(faults) => {
            let text: Vec<String> = faults.iter().map(ToString::to_string).collect();
            return usage(&text.join("\n"));
        }
    };
    let Some(command) = arguments.command else {
        return usage("no command: see `citronctl --help`");
    };
    if command.asks_daemons()
        && let Err(fault) = settings.check_token()
    {
        return usage(&fault.to_string());
    }
    run(settings, command)
}

fn run(settings: Settings, command: Command) -> ExitCode {
    let json = settings.json;
    let system = actix_rt::System::new();
    let outcome = system.block_on(command::run(settings, command, Instant::now()));
    match (json, outcome.exit) {
        (true, _) => println!("{}", outcome.body),
        (false, Exit::Done) => println!("{}", outcome.text),
        (false, _) => eprintln!("{}", outcome.text),
    }
    outcome.exit.into()
}

fn usage(text: &str) -> ExitCode {
    eprintln!("{text}");
    Exit::Usage.into()
}

fn help(arguments: &Arguments) -> String {
    let commands = arguments.self_command_list().unwrap_or_default();
    match &arguments.command {
        Some(command) => format!(
            "Usage: citronctl {} [OPTIONS]\n\n{}\n\nSettings:\n{}",
            command.command_name().unwrap_or_default(),
            command.self_usage(),
            Settings::help()
        ),
        None => format!(
            "Usage: citronctl [SETTINGS] COMMAND [OPTIONS]\n\nCommands:\n{commands}\n\nSettings:\n{}\n\
             Exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 not in force everywhere,\n\
             5 no daemon answered or outcome unknown",
            Settings::help()
        ),
    }
}
