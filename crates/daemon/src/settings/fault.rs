//! Faults of the settings, each with its remedy.

use derive_more::{Display, Error};

/// One fault.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// An unknown flag.
    #[display("unknown flag {flag}: see --help for the flags")]
    UnknownFlag {
        /// The flag as written.
        flag: String,
    },
    /// An argument that belongs to no flag.
    #[display("{argument:?} belongs to no flag: remove it or put its flag before it")]
    UnexpectedArgument {
        /// The argument.
        argument: String,
    },
    /// A flag without its value.
    #[display("--{flag} has no value: write one after it")]
    MissingValue {
        /// Name of the flag.
        flag: &'static str,
    },
    /// A required setting is missing.
    #[display("--{flag} is missing: give it or set {variable}")]
    Missing {
        /// Name of the flag.
        flag: &'static str,
        /// Its environment variable.
        variable: String,
    },
    /// An invalid value.
    #[display("--{flag}: {remedy}")]
    Value {
        /// Name of the flag.
        flag: &'static str,
        /// What to write instead.
        remedy: String,
    },
    /// Two listeners with the same address.
    #[display("--{flag} has the address of --{other}: give each listener its own port")]
    SameAddress {
        /// Name of the later flag.
        flag: &'static str,
        /// Name of the earlier flag.
        other: &'static str,
    },
    /// No operator tokens are given, so no operator could log in.
    #[display("no operator tokens: give --operator-token-file or set CITRON_OPERATOR_TOKENS")]
    NoOperators,
}

/// All faults found at one start.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", _0.iter().map(|fault| format!("citrond: {fault}")).collect::<Vec<_>>().join("\n"))]
pub struct Faults(#[error(not(source))] pub Vec<Fault>);
