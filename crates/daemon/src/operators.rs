//! Where the operators' tokens come from.

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
    #[display("operator token file {}: {source}: check its path and rights", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// Lines that cannot be used.
    #[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Lines(#[error(not(source))] Vec<TokenFault>),
}

/// Reads the tokens that the settings name, from the file and the text together.
///
/// # Errors
/// [`Fault`] when the file or a line cannot be used.
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
