//! Operators' tokens.
//!
//! Only digests are kept, and a presented token is compared with all of them in
//! constant time, so that neither memory nor timing reveals a token.

use citron_policy::id::OperatorId;
use derive_more::{Display, Error};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Minimum length of a token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;

/// Maximum length of an operator's name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Fault in a list of operators.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// The list has no operators, so none could log in.
    #[display("no operator tokens: list one operator per line as NAME TOKEN")]
    Empty,
    /// A line is not `NAME TOKEN`.
    #[display("operator tokens, line {line}: write NAME TOKEN, one operator per line")]
    Format {
        /// Line number, starting at 1.
        line: usize,
    },
    /// A name is too long or has invalid characters.
    #[display(
        "operator tokens, line {line}: a name is 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' \
         or '.'"
    )]
    Name {
        /// Line number, starting at 1.
        line: usize,
    },
    /// A token is so short that it could be guessed.
    #[display(
        "operator tokens, line {line}: use a random token of at least {MIN_TOKEN_BYTES} bytes"
    )]
    Short {
        /// Line number, starting at 1.
        line: usize,
    },
    /// Two operators share a name or a token.
    #[display("operator tokens, line {line}: give each operator a name and a token of its own")]
    Duplicate {
        /// Line number of the duplicate, starting at 1.
        line: usize,
    },
}

/// Operators with the digests of their tokens.
#[derive(Clone, derive_more::Debug, Default)]
pub struct Tokens {
    #[debug("{} operators", operators.len())]
    operators: Vec<(OperatorId, [u8; 32])>,
}

impl Tokens {
    /// Parses a list with one operator per line as `NAME TOKEN`; `#` starts a comment.
    ///
    /// # Errors
    /// Every [`Fault`] found; none contains a token.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let mut tokens = Self::default();
        let mut faults = Vec::new();
        for (number, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            if let Err(fault) = tokens.add(number + 1, line) {
                faults.push(fault);
            }
        }
        if tokens.operators.is_empty() && faults.is_empty() {
            faults.push(Fault::Empty);
        }
        if faults.is_empty() {
            Ok(tokens)
        } else {
            Err(faults)
        }
    }

    fn add(&mut self, number: usize, line: &str) -> Result<(), Fault> {
        let mut words = line.split_whitespace();
        let (Some(name), Some(token), None) = (words.next(), words.next(), words.next()) else {
            return Err(Fault::Format { line: number });
        };
        let plain = name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        if !plain || name.len() > MAX_NAME_BYTES {
            return Err(Fault::Name { line: number });
        }
        if token.len() < MIN_TOKEN_BYTES {
            return Err(Fault::Short { line: number });
        }
        let digest = digest(token.as_bytes());
        if self
            .operators
            .iter()
            .any(|(known, other)| known == name || *other == digest)
        {
            return Err(Fault::Duplicate { line: number });
        }
        self.operators.push((name.to_owned(), digest));
        Ok(())
    }

    /// The operator with this token. Always compares with all of them, in constant time.
    #[must_use]
    pub fn operator(&self, token: &[u8]) -> Option<&OperatorId> {
        let given = digest(token);
        let mut found = None;
        for (name, known) in &self.operators {
            if bool::from(known.ct_eq(&given)) {
                found = Some(name);
            }
        }
        found
    }
}

fn digest(token: &[u8]) -> [u8; 32] {
    Sha256::digest(token).into()
}
