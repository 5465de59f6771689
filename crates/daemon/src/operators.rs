//! Reads the operators' tokens from the settings and the token file.

use std::{fs, io, path::PathBuf};

use derive_more::{Display, Error};

use crate::{
    admin::{TokenFault, Tokens},
    settings::Settings,
};

/// Why the operators' tokens cannot be used.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// The file cannot be read.
    #[display("operator token file {}: {source}: check its path and permissions", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// Lines that are not valid tokens.
    #[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Lines(#[error(not(source))] Vec<TokenFault>),
}

/// Reads the tokens given in the settings and those in the token file.
///
/// # Errors
/// [`Fault`] when the file cannot be read or a line is invalid.
pub fn read(settings: &Settings) -> Result<Tokens, Fault> {
    let mut text = settings.operator_tokens.clone().unwrap_or_default();
    if let Some(path) = &settings.operator_token_file {
        let file = fs::read_to_string(path);
        let file = file.map_err(|source| Fault::File {
            path: path.clone(),
            source,
        })?;
        text = format!("{text}\n{file}");
    }
    Tokens::parse(&text).map_err(Fault::Lines)
}
