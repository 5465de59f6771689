//! A file layer that has no room from a chosen step on, for a time.

use std::{
    io,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use citron_journal::{Disk, Files};

/// Bytes of the marker that follows each synced frame.
const MARKER_BYTES: usize = 8;

/// The operation at which the disk becomes full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A write to a segment in use: entries, a vote or a term.
    Append,
    /// The same, of which half is written.
    ShortAppend,
    /// The sync of a segment in use.
    LogSync,
    /// The first write of a new segment.
    NewSegment,
    /// The same, of which half is written.
    ShortSegment,
    /// The sync of a new segment.
    SegmentSync,
    /// The marker after a synced frame.
    Marker,
    /// The write of a snapshot.
    SnapshotWrite,
    /// The same, of which half is written.
    ShortSnapshot,
    /// The sync of a snapshot.
    SnapshotSync,
    /// The rename of a snapshot.
    SnapshotRename,
    /// The sync of the folder.
    FolderSync,
    /// The removal of an old segment or snapshot.
    Removal,
    /// A write to a segment, and then each cut of a torn tail as well.
    Cut,
}

#[derive(Debug, Default)]
struct State {
    planned: Option<(Step, Duration)>,
    full: Option<(Step, Instant)>,
    begun: bool,
    /// How long the next sync of a segment takes.
    stall: Option<Duration>,
}

/// One replica's disk; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Room {
    state: Arc<Mutex<State>>,
}

impl Room {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the disk full at the next step of this kind, for a time.
    pub fn fill(&self, step: Step, time: Duration) {
        *self.state() = State {
            planned: Some((step, time)),
            ..State::default()
        };
    }

    /// Makes the next sync of a segment take a time; there is room after it.
    pub fn stall(&self, time: Duration) {
        *self.state() = State {
            stall: Some(time),
            ..State::default()
        };
    }

    fn wait(&self) {
        let mut state = self.state();
        let Some(time) = state.stall.take() else {
            return;
        };
        state.begun = true;
        state.full = Some((Step::LogSync, Instant::now() + time));
        drop(state);
        thread::sleep(time);
    }

    /// Withdraws what was planned.
    pub fn empty(&self) {
        *self.state() = State::default();
    }

    /// Whether the disk has been full since [`Self::fill`].
    pub fn has_begun(&self) -> bool {
        self.state().begun
    }

    /// Whether the disk has room now.
    pub fn has_room(&self) -> bool {
        let state = self.state();
        state.full.is_none_or(|(_, end)| Instant::now() >= end)
    }

    /// Whether an operation is refused, and whether half of it is done first.
    fn refuse(&self, done: &[Step], writes: bool) -> Option<bool> {
        let mut state = self.state();
        if let Some((step, time)) = state.planned
            && done.contains(&step)
        {
            state.planned = None;
            state.begun = true;
            state.full = Some((step, Instant::now() + time));
            let short = [Step::ShortAppend, Step::ShortSegment, Step::ShortSnapshot];
            return Some(short.contains(&step));
        }
        match state.full {
            Some((step, end)) if Instant::now() < end => {
                (writes || done.contains(&step)).then_some(false)
            }
            _ => None,
        }
    }
}

/// A folder on a disk that may be full.
#[derive(Debug)]
pub struct Full {
    disk: Disk,
    room: Room,
    /// Segments that have been written to.
    known: Vec<String>,
}

impl Full {
    pub fn open(folder: &Path, room: Room) -> io::Result<Self> {
        Ok(Self {
            disk: Disk::new(folder)?,
            room,
            known: Vec::new(),
        })
    }

    fn check(&self, done: &[Step], writes: bool) -> io::Result<()> {
        match self.room.refuse(done, writes) {
            Some(_) => Err(io::ErrorKind::StorageFull.into()),
            None => Ok(()),
        }
    }
}

impl Files for Full {
    fn lock(&mut self) -> io::Result<bool> {
        self.disk.lock()
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let names = self.disk.list()?;
        self.known.clone_from(&names);
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.disk.read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let known = self.known.iter().any(|it| it == name);
        let done: &[Step] = if name.starts_with("snapshot") {
            &[Step::SnapshotWrite, Step::ShortSnapshot]
        } else if !name.starts_with("log-") {
            &[]
        } else if !known {
            &[Step::NewSegment, Step::ShortSegment]
        } else if bytes.len() == MARKER_BYTES {
            &[Step::Marker]
        } else {
            &[Step::Append, Step::ShortAppend, Step::Cut]
        };
        match self.room.refuse(done, true) {
            None => {}
            Some(short) => {
                if short {
                    self.disk.append(name, &bytes[..bytes.len() / 2])?;
                }
                return Err(io::ErrorKind::StorageFull.into());
            }
        }
        self.disk.append(name, bytes)
    }

    fn rewrite(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.check(&[Step::LogSync], true)?;
        self.disk.rewrite(name, offset, bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.check(&[Step::Cut], false)?;
        self.disk.truncate(name, length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.room.wait();
        let known = self.known.iter().any(|it| it == name);
        let done = if name.starts_with("snapshot") {
            Step::SnapshotSync
        } else if known {
            Step::LogSync
        } else {
            Step::SegmentSync
        };
        self.check(&[done], false)?;
        // The machine is not lost here, and its own disk may be slow to sync.
        if !known {
            self.known.push(name.to_owned());
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.check(&[Step::SnapshotRename], true)?;
        self.disk.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let done: &[Step] = if name.starts_with("log-") || name.starts_with("snapshot-") {
            &[Step::Removal]
        } else {
            &[]
        };
        self.check(done, false)?;
        self.disk.remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.check(&[Step::FolderSync], false)
    }
}
