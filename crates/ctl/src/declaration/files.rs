//! Finds and reads declaration files, within limits.

use std::{
    fs::{self, File},
    io::{self, Read},
    path::{Path, PathBuf},
};

use super::{Fault, Location, Reason};

/// Largest file in bytes.
const MAX_FILE_BYTES: usize = 16 << 20;

/// Most files in one declaration.
const MAX_FILES: usize = 16_384;

/// Levels of subfolders that are searched.
const MAX_DEPTH: usize = 8;

/// The file itself, or the `.toml` files below a folder, sorted by path.
pub(super) fn list(path: &Path, faults: &mut Vec<Fault>) -> Vec<PathBuf> {
    let mut files = Vec::new();
    let outcome = match fs::metadata(path) {
        Ok(found) if found.is_dir() => walk(path, MAX_DEPTH, &mut files),
        Ok(_) => {
            files.push(path.to_owned());
            Ok(())
        }
        Err(error) => Err(error),
    };
    files.sort();
    let reason = match outcome {
        Err(error) => Some(Reason::Unreadable {
            error: error.to_string(),
        }),
        Ok(()) if files.is_empty() => Some(Reason::Empty),
        Ok(()) if files.len() > MAX_FILES => Some(Reason::TooLarge {
            what: "the number of files",
            limit: MAX_FILES,
        }),
        Ok(()) => None,
    };
    if let Some(reason) = reason {
        faults.push(fault(path, reason));
        return Vec::new();
    }
    files
}

fn walk(folder: &Path, depth: usize, files: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if files.len() > MAX_FILES {
            return Ok(());
        }
        // What is left out would be removed by `apply --prune`.
        let kind = fs::metadata(&path).map_err(|error| {
            io::Error::new(error.kind(), format!("{}: {error}", path.display()))
        })?;
        if kind.is_dir() {
            let Some(depth) = depth.checked_sub(1) else {
                return Err(io::Error::other(format!(
                    "{} is more than {MAX_DEPTH} folders deep: move it up",
                    path.display()
                )));
            };
            walk(&path, depth, files)?;
        } else if path.extension().is_some_and(|it| it == "toml") {
            files.push(path);
        }
    }
    Ok(())
}

/// The text of a file.
pub(super) fn read(path: &Path, faults: &mut Vec<Fault>) -> Option<String> {
    let mut text = String::new();
    let limit = MAX_FILE_BYTES as u64 + 1;
    let outcome = File::open(path).and_then(|file| file.take(limit).read_to_string(&mut text));
    let reason = match outcome {
        Ok(size) if size > MAX_FILE_BYTES => Reason::TooLarge {
            what: "the file",
            limit: MAX_FILE_BYTES,
        },
        Ok(_) => return Some(text),
        Err(error) => Reason::Unreadable {
            error: error.to_string(),
        },
    };
    faults.push(fault(path, reason));
    None
}

fn fault(path: &Path, reason: Reason) -> Fault {
    Fault {
        location: Location {
            file: path.to_owned(),
            line: 1,
        },
        entry: None,
        reason,
    }
}
