//! Settings of the daemon, from flags and environment variables.
//!
//! Each setting is defined once, in [`flag::FLAGS`], with its name, value, help
//! and check. A flag takes precedence over its environment variable. All settings
//! are read before any is refused, so that one start reports every fault.

mod fault;
mod flag;

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use gumdrop::{Opt, Parser, ParsingStyle};
use indexmap::IndexMap;

use crate::duty;

pub use fault::{Fault, Faults};
use flag::{FLAGS, Flag};

/// Prefix of the environment variables.
const ENVIRONMENT_PREFIX: &str = "CITRON_";

/// Settings of one daemon.
#[derive(Clone, derive_more::Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: String,
    /// Failure domain of this instance.
    pub domain: String,
    /// CPU available to this instance, in thousandths of a core; zero if not declared.
    pub capacity: u32,
    /// Name of the cluster.
    pub cluster: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers, TCP and UDP.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Base URL of the platform's instance list.
    pub platform: String,
    /// Folder for durable state; makes this instance a control replica.
    pub data: Option<PathBuf>,
    /// File with the operators' names and tokens, one `NAME TOKEN` per line.
    pub operator_token_file: Option<PathBuf>,
    /// Operators' names and tokens, one `NAME TOKEN` per line.
    #[debug("{}", if operator_tokens.is_some() { "set" } else { "not set" })]
    pub operator_tokens: Option<String>,
    /// File that spans are written to.
    pub trace_file: Option<PathBuf>,
    /// Maximum time that a leaving daemon waits for requests in flight.
    pub drain_timeout: Duration,
    /// Peer addresses of daemons that may be running.
    pub seeds: Vec<SocketAddr>,
    /// Replicas from which the cluster forms itself at its first start; zero if an operator
    /// forms it.
    pub form: usize,
    /// Number of voters that the control log keeps; zero for as many as it has.
    pub voters: usize,
    /// Address at which metrics are served without a token.
    pub metrics: Option<SocketAddr>,
    /// Maximum number of caller connections.
    pub max_connections: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Memory that the process may use, in bytes; bounds what it buffers.
    pub memory_bytes: u64,
    /// Maximum number of log lines per second for successful requests.
    pub log_rate: usize,
    /// Retries that all daemons together may accumulate for a service.
    pub retry_slack: u32,
    /// Whether runners and daemons share their machines with others, so that their speed
    /// differs and changes.
    pub shared_hosts: bool,
    /// Duties that one daemon at a time carries out.
    pub duties: duty::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            instance: String::new(),
            domain: String::new(),
            capacity: 0,
            cluster: String::new(),
            callers: loopback(8080),
            peer: loopback(8081),
            admin: loopback(8082),
            platform: String::new(),
            data: None,
            operator_token_file: None,
            operator_tokens: None,
            trace_file: None,
            drain_timeout: Duration::from_mins(10),
            seeds: Vec::new(),
            form: 0,
            voters: 0,
            metrics: None,
            max_connections: 4_096,
            max_body_bytes: 1 << 20,
            memory_bytes: 256 << 20,
            log_rate: 100,
            retry_slack: 60,
            shared_hosts: false,
            duties: duty::Settings::default(),
        }
    }
}

impl Settings {
    /// The settings with one flag set from its environment variable, if present.
    ///
    /// # Errors
    /// [`Fault`] if the value is invalid or the flag does not exist.
    pub fn with_variable<E>(mut self, flag: &str, environment: E) -> Result<Self, Fault>
    where
        E: Fn(&str) -> Option<String>,
    {
        let Some(flag) = Flag::named(flag) else {
            let flag = format!("--{flag}");
            return Err(Fault::UnknownFlag { flag });
        };
        match environment(&flag.variable()).map(|value| (flag.set)(&mut self, &value)) {
            Some(Err(remedy)) => Err(Fault::Value {
                flag: flag.name,
                remedy: remedy.to_owned(),
            }),
            Some(Ok(())) | None => Ok(self),
        }
    }
}

/// The action requested on the command line.
#[derive(Clone, Debug)]
pub enum Request {
    /// Run the daemon.
    Run(Settings),
    /// Only check the settings.
    Check(Settings),
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

impl Request {
    /// Reads the arguments, then the environment for settings not given there.
    ///
    /// # Errors
    /// All faults found, each with its remedy.
    pub fn read<E>(arguments: &[String], environment: E) -> Result<Self, Faults>
    where
        E: Fn(&str) -> Option<String>,
    {
        let mut faults = Vec::new();
        let line = Arguments::parse(arguments, &mut faults);
        if line.help {
            return Ok(Self::Help);
        }
        if line.version {
            return Ok(Self::Version);
        }
        let settings = line.settings(environment, &mut faults);
        if !faults.is_empty() {
            return Err(Faults(faults));
        }
        Ok(if line.check {
            Self::Check(settings)
        } else {
            Self::Run(settings)
        })
    }
}

/// The parsed command line, with unchecked values.
#[derive(Debug, Default)]
struct Arguments {
    help: bool,
    version: bool,
    check: bool,
    values: IndexMap<&'static str, String>,
}

impl Arguments {
    fn parse(arguments: &[String], faults: &mut Vec<Fault>) -> Self {
        let mut line = Self::default();
        let mut parser = Parser::new(arguments, ParsingStyle::AllOptions);
        while let Some(option) = parser.next_opt() {
            match option {
                Opt::Long("help") | Opt::Short('h') => line.help = true,
                Opt::Long("version") | Opt::Short('V') => line.version = true,
                Opt::Long("check") => line.check = true,
                Opt::Long(name) => match (Flag::named(name), parser.next_arg()) {
                    (Some(flag), Some(value)) => line.set(flag, value),
                    (Some(flag), None) => faults.push(Fault::MissingValue { flag: flag.name }),
                    (None, _) => faults.push(Fault::UnknownFlag {
                        flag: format!("--{name}"),
                    }),
                },
                Opt::LongWithArg(name, value) => match Flag::named(name) {
                    Some(flag) => line.set(flag, value),
                    None => faults.push(Fault::UnknownFlag {
                        flag: format!("--{name}"),
                    }),
                },
                Opt::Short(name) => faults.push(Fault::UnknownFlag {
                    flag: format!("-{name}"),
                }),
                Opt::Free(argument) => faults.push(Fault::UnexpectedArgument {
                    argument: argument.to_owned(),
                }),
            }
        }
        line
    }

    fn set(&mut self, flag: &Flag, value: &str) {
        self.values.insert(flag.name, value.to_owned());
    }

    fn settings<E>(&self, environment: E, faults: &mut Vec<Fault>) -> Settings
    where
        E: Fn(&str) -> Option<String>,
    {
        let mut settings = Settings::default();
        for flag in FLAGS {
            let value = self
                .values
                .get(flag.name)
                .cloned()
                .or_else(|| environment(&flag.variable()));
            let Some(value) = value else {
                if flag.required {
                    faults.push(Fault::Missing {
                        flag: flag.name,
                        variable: flag.variable(),
                    });
                }
                continue;
            };
            if let Err(remedy) = (flag.set)(&mut settings, &value) {
                faults.push(Fault::Value {
                    flag: flag.name,
                    remedy: remedy.to_owned(),
                });
            }
        }
        check_combined(&settings, faults);
        settings
    }
}

/// Checks that span several settings.
fn check_combined(settings: &Settings, faults: &mut Vec<Fault>) {
    let addresses = [
        ("callers", settings.callers),
        ("peer", settings.peer),
        ("admin", settings.admin),
    ];
    for (place, (flag, address)) in addresses.iter().enumerate() {
        let taken = addresses[..place]
            .iter()
            .find(|(_, other)| other == address && address.port() != 0);
        if let Some((other, _)) = taken {
            faults.push(Fault::SameAddress { flag, other });
        }
    }
    if settings.operator_token_file.is_none() && settings.operator_tokens.is_none() {
        faults.push(Fault::NoOperators);
    }
}

/// The text of `--help`.
#[must_use]
pub fn help() -> String {
    let flags: String = FLAGS.iter().map(Flag::help_lines).collect();
    format!(
        "Usage: citrond [--check] [FLAGS]\n\n\
         Runs one instance of the citronpond router.\n\n\
         Flags, each also read from its environment variable:\n{flags}\
         \x20 --check                              Check the settings and exit\n\
         \x20 --version                            Print the version\n\
         \x20 --help                               Print this text\n\n\
         Exit codes: 0 done, 1 failed while running, 2 wrong settings.\n"
    )
}
