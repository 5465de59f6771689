//! Access to the journal's folder on disk.
//!
//! All I/O goes through the [`Files`] trait, so that tests can inject faults.
//! Writes, renames and removals are durable only after the matching sync.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

/// Name of the file that is locked to exclude a second process.
const LOCK_FILE: &str = "lock";

/// A flat folder of files.
pub trait Files {
    /// Locks the folder for this process; false if another process holds the lock.
    ///
    /// # Errors
    /// The operating system's error.
    fn lock(&mut self) -> io::Result<bool>;

    /// Names of all files except the lock.
    ///
    /// # Errors
    /// The operating system's error.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    /// The operating system's error.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends to a file; creates it if it does not exist.
    ///
    /// # Errors
    /// The operating system's error.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Writes a part of a file again, with the bytes that it already has, and makes it durable.
    ///
    /// # Errors
    /// The operating system's error.
    fn rewrite(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to `length` bytes.
    ///
    /// # Errors
    /// The operating system's error.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    /// The operating system's error.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file; replaces an existing file with the new name.
    ///
    /// # Errors
    /// The operating system's error.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// The operating system's error.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes creations, renames and removals durable.
    ///
    /// # Errors
    /// The operating system's error.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder in the file system.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    /// Lock file, held while the folder is in use.
    lock: Option<File>,
    /// File written last. A failed write-back is reported to the handle that
    /// wrote, so the sync must use the same handle.
    open: Option<(String, File)>,
}

impl Disk {
    /// Opens the folder at a path; creates it if it does not exist.
    ///
    /// # Errors
    /// The operating system's error.
    pub fn new(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        if let Some(parent) = folder.parent().filter(|it| !it.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self {
            folder: folder.to_owned(),
            lock: None,
            open: None,
        })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn handle(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path(name))?;
            self.open = Some((name.to_owned(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }

    fn close(&mut self, name: &str) {
        self.open.take_if(|(open, _)| open == name);
    }
}

impl Files for Disk {
    fn lock(&mut self) -> io::Result<bool> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(self.path(LOCK_FILE))?;
        match file.try_lock() {
            Ok(()) => {
                self.lock = Some(file);
                Ok(true)
            }
            Err(TryLockError::WouldBlock) => Ok(false),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.handle(name)?.write_all(bytes)
    }

    fn rewrite(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        // A file opened to append writes at its end only.
        let mut file = OpenOptions::new().write(true).open(self.path(name))?;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)?;
        file.sync_data()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.handle(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.handle(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.path(from), self.path(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        fs::remove_file(self.path(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
