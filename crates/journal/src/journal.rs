//! Write path of the journal: staging, batches, segments and snapshots.

use std::io;

use crate::{
    Error, Files, Index, ReplicaId,
    frame::{self, MARKER_BYTES, MAX_BODY_BYTES},
    recover,
    segment::{self, Body, Header, Item},
    snapshot,
};

/// Size after which a segment is closed, in bytes.
const SEGMENT_BYTES: u64 = 16 << 20;

/// Largest record or hard state, in bytes.
const MAX_ITEM_BYTES: usize = 32 << 20;

/// Largest snapshot, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 1 << 30;

/// Upper bound of the bytes of an item besides its data.
const ITEM_OVERHEAD_BYTES: usize = 16;

/// Settings of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Size after which a segment is closed, in bytes.
    pub segment_bytes: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            segment_bytes: SEGMENT_BYTES,
        }
    }
}

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the log.
    pub index: Index,
    /// Content.
    pub data: Vec<u8>,
}

/// A snapshot of the state up to an index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last index that it covers.
    pub index: Index,
    /// Content.
    pub data: Vec<u8>,
}

/// Data recovered when a journal is opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovered {
    /// Identity of the folder.
    pub id: ReplicaId,
    /// Last hard state; empty if none was saved.
    pub hard: Vec<u8>,
    /// The snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Records after the snapshot, without gaps.
    pub records: Vec<Record>,
}

/// A segment on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentMeta {
    /// Number of the segment.
    pub(crate) number: u64,
    /// Index of the last record before it.
    pub(crate) base: Index,
}

/// The open journal of one folder.
#[derive(Debug)]
pub struct Journal<F: Files> {
    pub(crate) files: F,
    pub(crate) settings: Settings,
    pub(crate) id: ReplicaId,
    /// Segments on disk, oldest first; the last one is active.
    pub(crate) segments: Vec<SegmentMeta>,
    /// Length of the active segment, in bytes.
    pub(crate) offset: u64,
    /// Index of the last record, staged ones included.
    pub(crate) last: Index,
    /// Index of the last record that was synced.
    pub(crate) synced: Index,
    /// Index of the snapshot, or zero.
    pub(crate) snapshot: Index,
    /// Last hard state, staged ones included.
    pub(crate) hard: Vec<u8>,
    pub(crate) staged: Vec<Item>,
    pub(crate) staged_bytes: usize,
    /// Set by the first failure and never cleared.
    pub(crate) stopped: bool,
}

impl<F> Journal<F>
where
    F: Files,
{
    /// Opens the journal of a folder, or creates one with the identity `new_id`.
    ///
    /// Recovered data is durable when this returns.
    ///
    /// # Errors
    /// Another process holds the folder, the disk fails, or synced data is
    /// damaged or missing.
    pub fn open(
        settings: Settings,
        files: F,
        new_id: ReplicaId,
    ) -> Result<(Self, Recovered), Error> {
        recover::open(settings, files, new_id)
    }

    /// Identity of a folder, read without writing to it; none if it has none yet.
    ///
    /// # Errors
    /// The disk fails, or the identity is damaged.
    pub fn identity(files: &mut F) -> Result<Option<ReplicaId>, Error> {
        recover::identity(files)
    }

    /// Identity of the folder.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Index of the last record, staged ones included.
    #[must_use]
    pub fn last(&self) -> Index {
        self.last
    }

    /// Stages records; one at or below the last index replaces all from there on.
    ///
    /// # Errors
    /// The records leave a gap or reach below the snapshot, one is too large,
    /// or the journal has stopped.
    pub fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        self.check_running()?;
        for record in records {
            let (first, next) = (self.snapshot + 1, self.last + 1);
            let found = record.index;
            if !(first..=next).contains(&found) {
                return Err(Error::Gap { first, next, found });
            }
            self.stage(Item::Entry(record.clone()), record.data.len())?;
            self.last = found;
        }
        Ok(())
    }

    /// Stages the hard state, which replaces the previous one.
    ///
    /// # Errors
    /// It is too large, or the journal has stopped.
    pub fn save_hard(&mut self, hard: &[u8]) -> Result<(), Error> {
        self.check_running()?;
        self.stage(Item::Hard(hard.to_vec()), hard.len())?;
        self.hard = hard.to_vec();
        Ok(())
    }

    /// Makes everything staged durable, in one write and one sync.
    ///
    /// # Errors
    /// The disk failed; the journal stays stopped.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.check_running()?;
        if self.staged.is_empty() {
            return Ok(());
        }
        if self.offset >= self.settings.segment_bytes {
            self.roll(self.synced)?;
        }
        let items = std::mem::take(&mut self.staged);
        self.staged_bytes = 0;
        self.write_frame(&Body::Batch(items))?;
        self.synced = self.last;
        Ok(())
    }

    /// Saves a snapshot of the state up to `index`, and removes what it replaces.
    ///
    /// Records after `index` are kept. A snapshot beyond the last record replaces
    /// all records up to `index`.
    ///
    /// # Errors
    /// The snapshot is older than the current one or too large, or the disk
    /// failed and the journal stays stopped.
    pub fn save_snapshot(&mut self, index: Index, data: &[u8]) -> Result<(), Error> {
        self.sync()?;
        let base = self.last.max(index);
        self.store_snapshot(index, data, 0, base)
    }

    /// Installs another replica's snapshot, which replaces the whole log.
    ///
    /// # Errors
    /// As for [`Self::save_snapshot`].
    pub fn install_snapshot(&mut self, index: Index, data: &[u8]) -> Result<(), Error> {
        self.sync()?;
        let first_segment = self.segment_number() + 1;
        self.store_snapshot(index, data, first_segment, index)
    }

    fn store_snapshot(
        &mut self,
        index: Index,
        data: &[u8],
        first_segment: u64,
        base: Index,
    ) -> Result<(), Error> {
        if index < self.snapshot {
            let (first, next) = (self.snapshot, self.last + 1);
            return Err(Error::Gap {
                first,
                next,
                found: index,
            });
        }
        check_size(data.len(), MAX_SNAPSHOT_BYTES)?;
        let bytes = snapshot::encode(self.id, index, first_segment, data);
        let temporary = snapshot::TEMPORARY;
        let target = snapshot::name(index);
        self.run("write", temporary, |it| it.append(temporary, &bytes))?;
        self.run("sync", temporary, |it| it.sync(temporary))?;
        self.run("rename", temporary, |it| it.rename(temporary, &target))?;
        // `roll` syncs the folder, which makes the rename durable too.
        let old = std::mem::replace(&mut self.snapshot, index);
        self.last = base;
        self.synced = base;
        self.roll(base)?;
        self.remove_obsolete(old)
    }

    /// Removes the files that the snapshot replaces; it must be durable by now.
    fn remove_obsolete(&mut self, old: Index) -> Result<(), Error> {
        let snapshot = self.snapshot;
        let covered = self
            .segments
            .windows(2)
            .take_while(|it| it[1].base <= snapshot);
        let count = covered.count();
        let dropped: Vec<SegmentMeta> = self.segments.drain(..count).collect();
        for segment in dropped {
            let name = segment::name(segment.number);
            self.run("remove", &name, |it| it.remove(&name))?;
        }
        if old > 0 && old != snapshot {
            let name = snapshot::name(old);
            self.run("remove", &name, |it| it.remove(&name))?;
        }
        self.run("sync the folder of", "the log", F::sync_folder)
    }

    /// Starts a new segment, then closes the previous one.
    ///
    /// The previous segment is closed only after the new one is durable, so a
    /// closed segment without a successor means that a file was lost. Batches are
    /// written to the new segment only after that, so an open segment has no
    /// records after it.
    pub(crate) fn roll(&mut self, base: Index) -> Result<(), Error> {
        let segment = SegmentMeta {
            number: self.segment_number() + 1,
            base,
        };
        let header = Header {
            replica: self.id,
            base,
            // This may be a staged hard state that is not synced yet, which is
            // harmless: it has not been acknowledged to anyone.
            hard: self.hard.clone(),
        };
        let frame = frame::encode(segment.number, 0, &Body::Header(header).encode());
        let name = segment::name(segment.number);
        self.run("write", &name, |it| it.append(&name, &frame))?;
        self.run("sync", &name, |it| it.sync(&name))?;
        self.run("sync the folder of", &name, F::sync_folder)?;
        self.write_frame(&Body::Closed)?;
        self.segments.push(segment);
        self.offset = frame.len() as u64;
        self.write_marker()
    }

    fn write_frame(&mut self, body: &Body) -> Result<(), Error> {
        let number = self.segment_number();
        let name = segment::name(number);
        let bytes = frame::encode(number, self.offset, &body.encode());
        self.run("write", &name, |it| it.append(&name, &bytes))?;
        self.run("sync", &name, |it| it.sync(&name))?;
        self.offset += bytes.len() as u64;
        self.write_marker()
    }

    /// Writes the marker of a synced frame; the marker needs no sync itself.
    pub(crate) fn write_marker(&mut self) -> Result<(), Error> {
        let number = self.segment_number();
        let name = segment::name(number);
        let marker = frame::marker(number, self.offset);
        self.run("write", &name, |it| it.append(&name, &marker))?;
        self.offset += MARKER_BYTES as u64;
        Ok(())
    }

    fn stage(&mut self, item: Item, size: usize) -> Result<(), Error> {
        check_size(size, MAX_ITEM_BYTES)?;
        let size = size + ITEM_OVERHEAD_BYTES;
        if self.staged_bytes + size > MAX_BODY_BYTES {
            self.sync()?;
        }
        self.staged_bytes += size;
        self.staged.push(item);
        Ok(())
    }

    pub(crate) fn segment_number(&self) -> u64 {
        self.segments.last().map_or(0, |segment| segment.number)
    }

    fn check_running(&self) -> Result<(), Error> {
        if self.stopped {
            return Err(Error::Stopped);
        }
        Ok(())
    }

    /// Runs one operation; the first failure stops the journal.
    pub(crate) fn run<T, O>(
        &mut self,
        step: &'static str,
        file: &str,
        operation: O,
    ) -> Result<T, Error>
    where
        O: FnOnce(&mut F) -> io::Result<T>,
    {
        self.check_running()?;
        operation(&mut self.files).map_err(|source| {
            self.stopped = true;
            Error::Io {
                step,
                file: file.to_owned(),
                source,
            }
        })
    }
}

fn check_size(bytes: usize, limit: usize) -> Result<(), Error> {
    if bytes > limit {
        return Err(Error::TooLarge { bytes, limit });
    }
    Ok(())
}
