//! Writing: staged items, batches, new segments and snapshots.

use std::io;

use crate::{
    Error, Files, Index, ReplicaId,
    frame::{self, MARKER_BYTES, MAX_BODY_BYTES},
    recover,
    segment::{self, Body, Head, Item},
    snapshot,
};

/// Size after which a segment is closed, in bytes.
const SEGMENT_BYTES: u64 = 16 << 20;

/// Most bytes of one record or hard state.
const MAX_ITEM_BYTES: usize = 32 << 20;

/// Most bytes of a snapshot.
const MAX_SNAPSHOT_BYTES: usize = 1 << 30;

/// Bytes of an item besides its data, at most.
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
    /// Its position.
    pub index: Index,
    /// Its content.
    pub data: Vec<u8>,
}

/// The state up to an index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last index that it covers.
    pub index: Index,
    /// Its content.
    pub data: Vec<u8>,
}

/// What was synced before the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovered {
    /// Identity of the folder.
    pub id: ReplicaId,
    /// Last hard state; empty if there was none.
    pub hard: Vec<u8>,
    /// The snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Records behind the snapshot, without gaps.
    pub records: Vec<Record>,
}

/// A segment on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
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
    /// Segments on the disk, oldest first; the last one is written to.
    pub(crate) places: Vec<Place>,
    /// Length of the segment that is written to.
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
    /// Set by the first failure, for good.
    pub(crate) stopped: bool,
}

impl<F> Journal<F>
where
    F: Files,
{
    /// Opens the journal of a folder, or begins one under the identity `new_id`.
    ///
    /// What is recovered is durable when this returns.
    ///
    /// # Errors
    /// Another process has the folder, the disk fails, or synced bytes are
    /// damaged or missing.
    pub fn open(
        settings: Settings,
        files: F,
        new_id: ReplicaId,
    ) -> Result<(Self, Recovered), Error> {
        recover::open(settings, files, new_id)
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

    /// Stages records; one at or below the last index voids those from there on.
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

    /// Stages the hard state, in place of the one before.
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
    /// The disk failed; the journal has stopped for good.
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

    /// Keeps a snapshot of the state up to `index`, and drops what it replaces.
    ///
    /// Records behind `index` stay. A snapshot beyond the last record stands in
    /// for the records up to it.
    ///
    /// # Errors
    /// It is older than the one that exists or too large, or the disk failed
    /// and the journal has stopped for good.
    pub fn save_snapshot(&mut self, index: Index, data: &[u8]) -> Result<(), Error> {
        self.sync()?;
        let base = self.last.max(index);
        self.store_snapshot(index, data, 0, base)
    }

    /// Takes over another replica's snapshot in place of the whole log.
    ///
    /// # Errors
    /// As for [`Self::save_snapshot`].
    pub fn install_snapshot(&mut self, index: Index, data: &[u8]) -> Result<(), Error> {
        self.sync()?;
        let first_segment = self.segment() + 1;
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
        let temporary = snapshot::UNFINISHED;
        let target = snapshot::name(index);
        self.run("write", temporary, |it| it.append(temporary, &bytes))?;
        self.run("sync", temporary, |it| it.sync(temporary))?;
        self.run("rename", temporary, |it| it.rename(temporary, &target))?;
        // The new segment's sync of the folder makes the rename durable too.
        let old = std::mem::replace(&mut self.snapshot, index);
        self.last = base;
        self.synced = base;
        self.roll(base)?;
        self.drop_replaced(old)
    }

    /// Removes what the snapshot stands in for: only after it is durable.
    fn drop_replaced(&mut self, old: Index) -> Result<(), Error> {
        let snapshot = self.snapshot;
        let covered = self
            .places
            .windows(2)
            .take_while(|it| it[1].base <= snapshot);
        let count = covered.count();
        let dropped: Vec<Place> = self.places.drain(..count).collect();
        for place in dropped {
            let name = segment::name(place.number);
            self.run("remove", &name, |it| it.remove(&name))?;
        }
        if old > 0 && old != snapshot {
            let name = snapshot::name(old);
            self.run("remove", &name, |it| it.remove(&name))?;
        }
        self.run("sync the folder of", "the log", F::sync_folder)
    }

    /// Begins a new segment, then closes the one before.
    ///
    /// The old one is closed only after the new one is durable, so that a
    /// closed segment without a successor is a loss, and only then are batches
    /// written to the new one, so that an open segment has no records after it.
    pub(crate) fn roll(&mut self, base: Index) -> Result<(), Error> {
        let place = Place {
            number: self.segment() + 1,
            base,
        };
        let head = Head {
            replica: self.id,
            base,
            // A staged one may be ahead of its sync here, which is no harm:
            // nobody has been told yet that it is kept.
            hard: self.hard.clone(),
        };
        let head = frame::encode(place.number, 0, &Body::Head(head).encode());
        let name = segment::name(place.number);
        self.run("write", &name, |it| it.append(&name, &head))?;
        self.run("sync", &name, |it| it.sync(&name))?;
        self.run("sync the folder of", &name, F::sync_folder)?;
        self.write_frame(&Body::Closed)?;
        self.places.push(place);
        self.offset = head.len() as u64;
        self.write_marker()
    }

    fn write_frame(&mut self, body: &Body) -> Result<(), Error> {
        let number = self.segment();
        let name = segment::name(number);
        let bytes = frame::encode(number, self.offset, &body.encode());
        self.run("write", &name, |it| it.append(&name, &bytes))?;
        self.run("sync", &name, |it| it.sync(&name))?;
        self.offset += bytes.len() as u64;
        self.write_marker()
    }

    /// Notes behind a synced frame that it was synced; needs no sync itself.
    pub(crate) fn write_marker(&mut self) -> Result<(), Error> {
        let number = self.segment();
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

    pub(crate) fn segment(&self) -> u64 {
        self.places.last().map_or(0, |place| place.number)
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
