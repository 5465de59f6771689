//! The table of settings.

use std::{net::SocketAddr, time::Duration};

use citron_policy::raft::formation::MAX_VOTERS;

use super::{ENVIRONMENT_PREFIX, Settings};

/// Maximum length of an instance, failure domain or cluster name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Least memory of a process, in bytes: a quarter of it holds the largest body.
const MIN_MEMORY_BYTES: usize = 4 * MAX_BODY_BYTES;

/// Upper bound of the setting for the request body size, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// One setting.
pub(super) struct Flag {
    /// Name without dashes.
    pub(super) name: &'static str,
    /// Placeholder for its value in the help text.
    pub(super) value: &'static str,
    /// Description in the help text.
    pub(super) help: &'static str,
    /// Default value in the help text.
    pub(super) default: Option<&'static str>,
    /// Whether the daemon refuses to start without it.
    pub(super) required: bool,
    /// Checks and stores a value; the error is the remedy.
    pub(super) set: fn(&mut Settings, &str) -> Result<(), &'static str>,
}

impl Flag {
    /// The flag of that name.
    pub(super) fn named(name: &str) -> Option<&'static Self> {
        FLAGS.iter().find(|flag| flag.name == name)
    }

    /// Its part of the help text.
    pub(super) fn help_lines(&self) -> String {
        let head = format!("  --{} {}", self.name, self.value);
        let default = self
            .default
            .map_or(String::new(), |value| format!(" [default: {value}]"));
        let variable = self.variable();
        format!(
            "{head:<38} {}{default}\n{:<38} [env: {variable}]\n",
            self.help, ""
        )
    }

    /// Name of its environment variable.
    pub(super) fn variable(&self) -> String {
        format!(
            "{ENVIRONMENT_PREFIX}{}",
            self.name.replace('-', "_").to_uppercase()
        )
    }
}

/// Every setting.
pub(super) const FLAGS: &[Flag] = &[
    Flag {
        name: "instance",
        value: "NAME",
        help: "Name of this instance, unique in the cluster",
        default: None,
        required: true,
        set: |settings, value| name(value).map(|name| settings.instance = name),
    },
    Flag {
        name: "domain",
        value: "NAME",
        help: "Failure domain of this instance",
        default: None,
        required: true,
        set: |settings, value| name(value).map(|name| settings.domain = name),
    },
    Flag {
        name: "capacity",
        value: "NUMBER",
        help: "CPU available to this instance, in thousandths of a core; 0 if not declared",
        default: Some("0"),
        required: false,
        set: |settings, value| {
            number(value, 0, 1_000_000)
                .and_then(|number| u32::try_from(number).ok())
                .map(|number| settings.capacity = number)
                .ok_or("write a number from 0 to 1000000")
        },
    },
    Flag {
        name: "cluster",
        value: "NAME",
        help: "Name of the cluster; peers of other clusters are refused",
        default: None,
        required: true,
        set: |settings, value| name(value).map(|name| settings.cluster = name),
    },
    Flag {
        name: "callers",
        value: "ADDRESS",
        help: "Address for callers, also announced to them",
        default: Some("127.0.0.1:8080"),
        required: false,
        set: |settings, value| address(value).map(|address| settings.callers = address),
    },
    Flag {
        name: "peer",
        value: "ADDRESS",
        help: "Address for the other daemons, TCP and UDP",
        default: Some("127.0.0.1:8081"),
        required: false,
        set: |settings, value| address(value).map(|address| settings.peer = address),
    },
    Flag {
        name: "admin",
        value: "ADDRESS",
        help: "Address for operators",
        default: Some("127.0.0.1:8082"),
        required: false,
        set: |settings, value| address(value).map(|address| settings.admin = address),
    },
    Flag {
        name: "platform",
        value: "URL",
        help: "Base URL of the platform's instance list, http://HOST:PORT",
        default: None,
        required: true,
        set: |settings, value| url(value).map(|url| settings.platform = url),
    },
    Flag {
        name: "data",
        value: "FOLDER",
        help: "Folder for durable state; makes this instance a control replica",
        default: None,
        required: false,
        set: |settings, value| text(value).map(|folder| settings.data = Some(folder.into())),
    },
    Flag {
        name: "operator-token-file",
        value: "FILE",
        help: "File with one operator per line: NAME TOKEN",
        default: None,
        required: false,
        set: |settings, value| {
            text(value).map(|file| settings.operator_token_file = Some(file.into()))
        },
    },
    Flag {
        name: "operator-tokens",
        value: "TEXT",
        help: "The same as text; prefer the variable, since other users can see flags",
        default: None,
        required: false,
        set: |settings, value| text(value).map(|tokens| settings.operator_tokens = Some(tokens)),
    },
    Flag {
        name: "trace-file",
        value: "FILE",
        help: "File that spans are appended to, one JSON object per line",
        default: None,
        required: false,
        set: |settings, value| text(value).map(|file| settings.trace_file = Some(file.into())),
    },
    Flag {
        name: "drain-timeout",
        value: "TIME",
        help: "Maximum wait for requests in flight when leaving",
        default: Some("10m"),
        required: false,
        set: |settings, value| time(value).map(|time| settings.drain_timeout = time),
    },
    Flag {
        name: "seeds",
        value: "ADDRESS[,ADDRESS…]",
        help: "Peer addresses of daemons that may be running",
        default: None,
        required: false,
        set: |settings, value| addresses(value).map(|seeds| settings.seeds = seeds),
    },
    Flag {
        name: "form",
        value: "NUMBER",
        help: "Replicas from which the cluster forms itself, once, on empty data folders",
        default: None,
        required: false,
        set: |settings, value| {
            number(value, 1, MAX_VOTERS)
                .map(|number| settings.form = number)
                .ok_or("write a number from 1 to 7")
        },
    },
    Flag {
        name: "voters",
        value: "NUMBER",
        help: "Voters that the control log keeps; as many as it has if not given",
        default: None,
        required: false,
        set: |settings, value| {
            number(value, 1, MAX_VOTERS)
                .map(|number| settings.voters = number)
                .ok_or("write a number from 1 to 7")
        },
    },
    Flag {
        name: "metrics",
        value: "ADDRESS",
        help: "Address at which metrics are served without a token",
        default: None,
        required: false,
        set: |settings, value| address(value).map(|address| settings.metrics = Some(address)),
    },
    Flag {
        name: "max-connections",
        value: "NUMBER",
        help: "Maximum number of caller connections",
        default: Some("4096"),
        required: false,
        set: |settings, value| {
            number(value, 1, 1_000_000)
                .map(|number| settings.max_connections = number)
                .ok_or("write a number from 1 to 1000000")
        },
    },
    Flag {
        name: "max-body-bytes",
        value: "NUMBER",
        help: "Maximum size of a request body, in bytes",
        default: Some("1048576"),
        required: false,
        set: |settings, value| {
            number(value, 1, MAX_BODY_BYTES)
                .map(|number| settings.max_body_bytes = number)
                .ok_or("write a number of bytes from 1 to 8388608")
        },
    },
    Flag {
        name: "memory-bytes",
        value: "NUMBER",
        help: "Memory that the process may use; a quarter of it may be buffered bodies",
        default: Some("268435456"),
        required: false,
        set: |settings, value| {
            number(value, MIN_MEMORY_BYTES, usize::MAX)
                .map(|number| settings.memory_bytes = number as u64)
                .ok_or("write a number of bytes, at least 33554432")
        },
    },
    Flag {
        name: "log-rate",
        value: "NUMBER",
        help: "Log lines per second for successful requests; failures are always logged",
        default: Some("100"),
        required: false,
        set: |settings, value| {
            number(value, 0, 100_000)
                .map(|number| settings.log_rate = number)
                .ok_or("write a number from 0 to 100000")
        },
    },
    Flag {
        name: "retry-slack",
        value: "NUMBER",
        help: "Retries that all daemons together may accumulate for a service behind an adapter",
        default: Some("60"),
        required: false,
        set: |settings, value| {
            number(value, 0, 100_000)
                .and_then(|number| u32::try_from(number).ok())
                .map(|number| settings.retry_slack = number)
                .ok_or("write a number from 0 to 100000")
        },
    },
];

fn name(value: &str) -> Result<String, &'static str> {
    let plain = value
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
    if plain && (1..=MAX_NAME_BYTES).contains(&value.len()) {
        return Ok(value.to_owned());
    }
    Err("write 1 to 64 letters, digits, '-', '_' or '.'")
}

fn address(value: &str) -> Result<SocketAddr, &'static str> {
    value
        .parse()
        .map_err(|_error| "write an IP address and port, such as 127.0.0.1:8080")
}

fn addresses(value: &str) -> Result<Vec<SocketAddr>, &'static str> {
    value.split(',').map(|it| address(it.trim())).collect()
}

fn url(value: &str) -> Result<String, &'static str> {
    let base = value.trim_end_matches('/');
    match base.strip_prefix("http://") {
        Some(host) if !host.is_empty() && !host.contains('/') => Ok(base.to_owned()),
        _ => Err("write http://HOST:PORT without a path"),
    }
}

fn text(value: &str) -> Result<String, &'static str> {
    if value.trim().is_empty() {
        Err("write a value that is not empty")
    } else {
        Ok(value.to_owned())
    }
}

fn time(value: &str) -> Result<Duration, &'static str> {
    humantime::parse_duration(value).map_err(|_error| "write a time such as 30s or 10m")
}

fn number(value: &str, least: usize, most: usize) -> Option<usize> {
    value
        .parse()
        .ok()
        .filter(|number| (least..=most).contains(number))
}
