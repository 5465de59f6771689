//! Settings of the tool: flags, and environment variables.
//!
//! Each setting is defined once, in [`SETTINGS`]. A flag may come before or after
//! the command, and takes precedence over its variable.

use std::{fs, time::Duration};

use derive_more::{Display, Error};
use indexmap::IndexMap;

/// Default operators' address of a daemon.
const DEFAULT_ADMIN: &str = "127.0.0.1:8082";

/// Default timeout of a command.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest token in bytes.
const MAX_TOKEN_BYTES: usize = 4_096;

/// Settings of one run.
#[derive(Clone, derive_more::Debug, PartialEq, Eq)]
pub struct Settings {
    /// Operators' addresses of daemons, tried in this order.
    pub admin: Vec<String>,
    /// The operator's token.
    #[debug("{}", if token.is_empty() { "not set" } else { "set" })]
    pub token: String,
    /// Longest time for a command.
    pub timeout: Duration,
    /// Whether to print JSON.
    pub json: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            admin: vec![DEFAULT_ADMIN.to_owned()],
            token: String::new(),
            timeout: DEFAULT_TIMEOUT,
            json: false,
        }
    }
}

/// What is wrong with the settings.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// A flag has no value.
    #[display("--{flag} needs a value: see `citronctl --help`")]
    Valueless {
        /// The flag.
        flag: &'static str,
    },
    /// A value is not allowed.
    #[display("{source_name}: {reason}")]
    Value {
        /// Flag or variable that it came from.
        source_name: String,
        /// What is wrong, with the remedy.
        reason: String,
    },
    /// No token was given.
    #[display(
        "no operator token: give --token-file FILE, or set CITRONCTL_TOKEN_FILE or CITRONCTL_TOKEN"
    )]
    NoToken,
}

/// One setting.
#[derive(Debug)]
pub struct Setting {
    /// Flag without its dashes; none if it would expose a secret.
    pub flag: Option<&'static str>,
    /// Environment variable.
    pub variable: &'static str,
    /// Name of the value in the help text; none for a switch.
    pub value: Option<&'static str>,
    /// What it does.
    pub help: &'static str,
    /// Checks a value and stores it.
    set: fn(&mut Settings, &str) -> Result<(), String>,
}

/// Every setting.
pub const SETTINGS: [Setting; 5] = [
    Setting {
        flag: Some("admin"),
        variable: "CITRONCTL_ADMIN",
        value: Some("ADDRESS[,ADDRESS…]"),
        help: "Operators' addresses of daemons; the next is tried if one does not answer",
        set: set_admin,
    },
    Setting {
        flag: Some("token-file"),
        variable: "CITRONCTL_TOKEN_FILE",
        value: Some("FILE"),
        help: "File that holds the operator's token",
        set: set_token_file,
    },
    Setting {
        flag: None,
        variable: "CITRONCTL_TOKEN",
        value: Some("TOKEN"),
        help: "The operator's token; has no flag, since others can read a command line",
        set: set_token,
    },
    Setting {
        flag: Some("timeout"),
        variable: "CITRONCTL_TIMEOUT",
        value: Some("TIME"),
        help: "Longest time for the command, such as 30s",
        set: set_timeout,
    },
    Setting {
        flag: Some("json"),
        variable: "CITRONCTL_JSON",
        value: None,
        help: "Print JSON for scripts",
        set: set_json,
    },
];

impl Settings {
    /// Reads settings, or every fault, from flags and environment; an empty
    /// variable counts as unset. Also returns the remaining arguments.
    pub fn read<E>(arguments: &[String], environment: E) -> (Result<Self, Vec<Fault>>, Vec<String>)
    where
        E: Fn(&str) -> Option<String>,
    {
        let mut faults = Vec::new();
        let (flags, rest) = split(arguments, &mut faults);
        let mut settings = Self::default();
        for setting in &SETTINGS {
            let flag = setting.flag.and_then(|flag| flags.get(flag));
            let variable = environment(setting.variable).filter(|it| !it.is_empty());
            let (source_name, value) = match (flag, variable) {
                (Some(value), _) => (
                    format!("--{}", setting.flag.unwrap_or_default()),
                    value.clone(),
                ),
                (None, Some(value)) => (setting.variable.to_owned(), value),
                (None, None) => continue,
            };
            if let Err(reason) = (setting.set)(&mut settings, &value) {
                faults.push(Fault::Value {
                    source_name,
                    reason,
                });
            }
        }
        let outcome = if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        };
        (outcome, rest)
    }

    /// Checks that there is a token.
    ///
    /// # Errors
    /// There is none.
    pub fn check_token(&self) -> Result<(), Fault> {
        if self.token.is_empty() {
            return Err(Fault::NoToken);
        }
        Ok(())
    }

    /// The part of the help text that lists the settings.
    #[must_use]
    pub fn help() -> String {
        let mut text = String::new();
        for setting in &SETTINGS {
            let value = setting.value.unwrap_or_default();
            let flag = setting
                .flag
                .map_or(String::new(), |it| format!("--{it} {value}"));
            let line = format!("  {flag:<32} {} [{}]\n", setting.help, setting.variable);
            text.push_str(&line);
        }
        text
    }
}

/// Separates the flags of settings from the other arguments, up to `--`.
fn split(
    arguments: &[String],
    faults: &mut Vec<Fault>,
) -> (IndexMap<&'static str, String>, Vec<String>) {
    let mut flags = IndexMap::new();
    let mut rest = Vec::new();
    let mut arguments = arguments.iter();
    while let Some(argument) = arguments.next() {
        if argument == "--" {
            rest.push(argument.clone());
            rest.extend(arguments.cloned());
            break;
        }
        let text = argument.strip_prefix("--").unwrap_or_default();
        let (name, inline) = match text.split_once('=') {
            Some((name, value)) => (name, Some(value.to_owned())),
            None => (text, None),
        };
        let known = SETTINGS.iter().find(|it| it.flag == Some(name));
        let Some((setting, flag)) = known.and_then(|it| Some((it, it.flag?))) else {
            rest.push(argument.clone());
            continue;
        };
        let value = match (setting.value, inline) {
            (_, Some(value)) => Some(value),
            (None, None) => Some("true".to_owned()),
            (Some(_), None) => arguments.next().cloned(),
        };
        match value {
            Some(value) => {
                flags.insert(flag, value);
            }
            None => faults.push(Fault::Valueless { flag }),
        }
    }
    (flags, rest)
}

fn set_admin(settings: &mut Settings, value: &str) -> Result<(), String> {
    let addresses: Vec<String> = value.split(',').map(|it| it.trim().to_owned()).collect();
    for address in &addresses {
        let port = address
            .rsplit_once(':')
            .map(|(host, port)| (host, port.parse::<u16>()));
        if !matches!(port, Some((host, Ok(_))) if !host.is_empty()) {
            return Err(format!("{address:?} is no address: write HOST:PORT"));
        }
    }
    settings.admin = addresses;
    Ok(())
}

fn set_token_file(settings: &mut Settings, value: &str) -> Result<(), String> {
    let text = fs::read_to_string(value)
        .map_err(|error| format!("{value}: {error}: give a readable file"))?;
    set_token(settings, &text)
}

fn set_token(settings: &mut Settings, value: &str) -> Result<(), String> {
    let token = value.trim();
    let plain = token.bytes().all(|it| it.is_ascii_graphic());
    if token.is_empty() || token.len() > MAX_TOKEN_BYTES || !plain {
        return Err("holds no token: write one line of printable characters".to_owned());
    }
    token.clone_into(&mut settings.token);
    Ok(())
}

fn set_timeout(settings: &mut Settings, value: &str) -> Result<(), String> {
    let timeout = humantime::parse_duration(value)
        .map_err(|error| format!("{value:?}: {error}: write a time such as 30s"))?;
    if timeout.is_zero() {
        return Err("a command needs some time: write a time such as 30s".to_owned());
    }
    settings.timeout = timeout;
    Ok(())
}

fn set_json(settings: &mut Settings, value: &str) -> Result<(), String> {
    settings.json = match value {
        "true" | "1" => true,
        "false" | "0" | "" => false,
        other => return Err(format!("{other:?} is no switch: write true or false")),
    };
    Ok(())
}
