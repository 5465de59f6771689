//! Who may use the operators' interface.

use std::{fmt, fs, io, path::PathBuf};

use citron_policy::id::OperatorId;
use derive_more::{Display, Error};
use subtle::ConstantTimeEq;

use crate::settings::Settings;

/// Shortest token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;

/// An operator and the token that proves it.
#[derive(Clone)]
pub struct Operator {
    /// Name that changes are recorded under.
    pub name: OperatorId,
    token: String,
}

impl fmt::Debug for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Operator")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// Why the operators' tokens cannot be used.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// The file cannot be read.
    #[display("operator token file {}: {source}: check its path and rights", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A line is not of the form `NAME TOKEN`.
    #[display(
        "operator tokens, line {line}: write NAME TOKEN with a token of at least {MIN_TOKEN_BYTES} characters"
    )]
    Line {
        /// Number of the line, from one.
        line: usize,
    },
    /// There is no line.
    #[display("operator tokens: there are none: write at least one line NAME TOKEN")]
    Empty,
}

/// Every operator of this daemon.
#[derive(Clone, Debug)]
pub struct Operators(Vec<Operator>);

impl Operators {
    /// Reads the operators that the settings name.
    ///
    /// # Errors
    /// [`Fault`] when a file or line cannot be used.
    pub fn read(settings: &Settings) -> Result<Self, Fault> {
        let mut text = settings.operator_tokens.clone().unwrap_or_default();
        if let Some(path) = &settings.operator_token_file {
            let file = fs::read_to_string(path);
            let file = file.map_err(|source| Fault::File {
                path: path.clone(),
                source,
            })?;
            text = format!("{text}\n{file}");
        }
        Self::parse(&text)
    }

    /// Reads lines of `NAME TOKEN`; empty lines and those with a leading `#` are passed over.
    ///
    /// # Errors
    /// [`Fault`] for the first line that cannot be used.
    pub fn parse(text: &str) -> Result<Self, Fault> {
        let mut operators = Vec::new();
        for (place, line) in text.lines().enumerate() {
            if line.trim().is_empty() || line.starts_with('#') {
                continue;
            }
            operators.push(parse_line(line).ok_or(Fault::Line { line: place + 1 })?);
        }
        if operators.is_empty() {
            Err(Fault::Empty)
        } else {
            Ok(Self(operators))
        }
    }

    /// The operator whose token this is; compared in constant time.
    #[must_use]
    pub fn find(&self, token: &str) -> Option<&Operator> {
        let mut found = None;
        for operator in &self.0 {
            if bool::from(operator.token.as_bytes().ct_eq(token.as_bytes())) {
                found = Some(operator);
            }
        }
        found
    }
}

fn parse_line(line: &str) -> Option<Operator> {
    let mut words = line.split_whitespace();
    let (name, token) = (words.next()?, words.next()?);
    let fits = words.next().is_none() && token.len() >= MIN_TOKEN_BYTES;
    fits.then(|| Operator {
        name: name.to_owned(),
        token: token.to_owned(),
    })
}
