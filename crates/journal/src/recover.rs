//! Opening a folder: creating a new one, or recovering what was synced.

use crate::{
    Error, Files, Index, Journal, Record, Recovered, ReplicaId, Settings, frame, identity,
    journal::SegmentMeta,
    segment::{self, Body, Frame, Header, Item, Segment},
    snapshot,
};

/// Number of the first segment of a folder.
const FIRST_SEGMENT: u64 = 1;

/// File name of an identity until it is complete and synced.
const TEMPORARY_IDENTITY: &str = "replica.tmp";

/// Opens a folder; see [`Journal::open`].
pub(crate) fn open<F>(
    settings: Settings,
    files: F,
    new_id: ReplicaId,
) -> Result<(Journal<F>, Recovered), Error>
where
    F: Files,
{
    let mut journal = Journal {
        files,
        settings,
        id: new_id,
        segments: Vec::new(),
        offset: 0,
        last: 0,
        synced: 0,
        snapshot: 0,
        hard: Vec::new(),
        staged: Vec::new(),
        staged_bytes: 0,
        stopped: false,
    };
    if !journal.run("lock", "the folder", F::lock)? {
        return Err(Error::Locked);
    }
    let names = journal.run("list", "the folder", F::list)?;
    if names.iter().any(|name| name == identity::NAME) {
        let recovered = journal.recover(&names)?;
        return Ok((journal, recovered));
    }
    journal.create(&names)?;
    let recovered = Recovered {
        id: new_id,
        hard: Vec::new(),
        snapshot: None,
        records: Vec::new(),
    };
    Ok((journal, recovered))
}

/// Reads the identity of a folder; see [`Journal::identity`].
pub(crate) fn identity<F>(files: &mut F) -> Result<Option<ReplicaId>, Error>
where
    F: Files,
{
    let failed = |step, file: &str| {
        let file = file.to_owned();
        move |source| Error::Io { step, file, source }
    };
    let names = files.list().map_err(failed("list", "the folder"))?;
    if !names.iter().any(|name| name == identity::NAME) {
        return Ok(None);
    }
    let bytes = files.read(identity::NAME);
    let bytes = bytes.map_err(failed("read", identity::NAME))?;
    identity::decode(&bytes).map(Some)
}

/// Files of a folder by kind.
#[derive(Debug, Default)]
struct Inventory {
    segments: Vec<u64>,
    snapshots: Vec<Index>,
    temporary_names: Vec<&'static str>,
}

impl Inventory {
    fn of(names: &[String]) -> Self {
        let mut inventory = Self {
            segments: names.iter().filter_map(|it| segment::number(it)).collect(),
            snapshots: names.iter().filter_map(|it| snapshot::index(it)).collect(),
            temporary_names: Vec::new(),
        };
        inventory.segments.sort_unstable();
        inventory.snapshots.sort_unstable();
        for name in [snapshot::TEMPORARY, TEMPORARY_IDENTITY] {
            if names.iter().any(|it| it == name) {
                inventory.temporary_names.push(name);
            }
        }
        inventory
    }
}

impl<F> Journal<F>
where
    F: Files,
{
    /// Initializes a folder. The identity is written last: a folder without one
    /// contains nothing that was acknowledged.
    fn create(&mut self, names: &[String]) -> Result<(), Error> {
        self.check_never_used(names)?;
        let header = Header {
            replica: self.id,
            base: 0,
            hard: Vec::new(),
        };
        let frame = frame::encode(FIRST_SEGMENT, 0, &Body::Header(header).encode());
        let name = segment::name(FIRST_SEGMENT);
        self.run("write", &name, |it| it.append(&name, &frame))?;
        self.run("sync", &name, |it| it.sync(&name))?;
        self.run("sync the folder of", &name, F::sync_folder)?;
        let (temporary, target) = (TEMPORARY_IDENTITY, identity::NAME);
        let bytes = identity::encode(self.id);
        self.run("write", temporary, |it| it.append(temporary, &bytes))?;
        self.run("sync", temporary, |it| it.sync(temporary))?;
        self.run("rename", temporary, |it| it.rename(temporary, target))?;
        self.run("sync the folder of", target, F::sync_folder)?;
        self.segments.push(SegmentMeta {
            number: FIRST_SEGMENT,
            base: 0,
        });
        self.offset = frame.len() as u64;
        self.write_marker()
    }

    /// Removes the files of an interrupted `create`; refuses a folder with more.
    fn check_never_used(&mut self, names: &[String]) -> Result<(), Error> {
        let inventory = Inventory::of(names);
        let lost = || Error::Missing {
            file: format!("file {:?}", identity::NAME),
        };
        if !inventory.snapshots.is_empty() {
            return Err(lost());
        }
        for number in inventory.segments {
            let segment = self.read_segment(number)?;
            let used = segment.is_some_and(|it| !it.items.is_empty() || it.closed);
            if number != FIRST_SEGMENT || used {
                return Err(lost());
            }
            let name = segment::name(number);
            self.run("remove", &name, |it| it.remove(&name))?;
        }
        for name in inventory.temporary_names {
            self.run("remove", name, |it| it.remove(name))?;
        }
        self.run("sync the folder of", "the log", F::sync_folder)
    }

    fn recover(&mut self, names: &[String]) -> Result<Recovered, Error> {
        let bytes = self.run("read", identity::NAME, |it| it.read(identity::NAME))?;
        self.id = identity::decode(&bytes)?;
        let inventory = Inventory::of(names);
        let stored = self.read_snapshot(&inventory)?;
        let first_valid = stored.as_ref().map_or(0, |it| it.first_segment);
        let snapshot = stored.map(|it| it.snapshot);
        self.snapshot = snapshot.as_ref().map_or(0, |it| it.index);
        let mut segments = self.read_segments(&inventory.segments)?;
        let unmarked = segments.iter_mut();
        let unmarked = unmarked.filter_map(|it| Some((it.number, it.unmarked.take()?)));
        let unmarked: Vec<(u64, Frame)> = unmarked.collect();
        let end = segments.last().map_or(0, |it| it.end);
        let log = Log::replay(segments, self.snapshot, first_valid)?;
        self.segments = log.segments;
        self.hard = log.hard;
        self.last = log.last.max(self.snapshot);
        self.synced = self.last;
        self.rewrite(unmarked)?;
        self.remove_stale(&inventory)?;
        self.make_durable(end)?;
        if log.last < self.snapshot || self.segment_number() < first_valid {
            self.last = self.snapshot;
            self.roll(self.snapshot)?;
        }
        Ok(Recovered {
            id: self.id,
            hard: self.hard.clone(),
            snapshot,
            records: log.records,
        })
    }

    fn read_snapshot(&mut self, inventory: &Inventory) -> Result<Option<snapshot::Stored>, Error> {
        let Some(index) = inventory.snapshots.last().copied() else {
            return Ok(None);
        };
        let name = snapshot::name(index);
        let bytes = self.run("read", &name, |it| it.read(&name))?;
        snapshot::decode(self.id, index, &bytes).map(Some)
    }

    /// Reads the contiguous segments up to the newest one.
    ///
    /// Segments before a gap are left over from a removal that was not durable;
    /// the first segment's base shows whether a snapshot covers the gap.
    fn read_segments(&mut self, numbers: &[u64]) -> Result<Vec<Segment>, Error> {
        let mut segments: Vec<Segment> = Vec::new();
        for number in numbers.iter().rev().copied() {
            if segments.last().is_some_and(|it| it.number != number + 1) {
                break;
            }
            match self.read_segment(number)? {
                Some(segment) => {
                    self.check_owner(&segment)?;
                    segments.push(segment);
                }
                // Only the newest segment can have an incomplete header.
                None if segments.is_empty() && Some(&number) == numbers.last() => {}
                None => {
                    return Err(Error::Damaged {
                        file: segment::name(number),
                        offset: 0,
                        reason: "the first record has a wrong checksum",
                    });
                }
            }
        }
        segments.reverse();
        check_closed(&mut segments)?;
        Ok(segments)
    }

    fn read_segment(&mut self, number: u64) -> Result<Option<Segment>, Error> {
        let name = segment::name(number);
        let bytes = self.run("read", &name, |it| it.read(&name))?;
        segment::read(number, &bytes)
    }

    fn check_owner(&self, segment: &Segment) -> Result<(), Error> {
        let (ours, theirs) = (self.id, segment.header.replica);
        if ours == theirs {
            return Ok(());
        }
        let file = segment::name(segment.number);
        Err(Error::Foreign { file, theirs, ours })
    }

    /// Writes frames again whose sync may have failed: the system may then take them for
    /// written, so that another sync alone would not keep them.
    fn rewrite(&mut self, frames: Vec<(u64, Frame)>) -> Result<(), Error> {
        for (number, Frame { offset, bytes }) in frames {
            let name = segment::name(number);
            let offset = offset as u64;
            self.run("rewrite", &name, |it| it.rewrite(&name, offset, &bytes))?;
        }
        Ok(())
    }

    /// Removes files left by an interrupted step or a removal that was not durable.
    fn remove_stale(&mut self, inventory: &Inventory) -> Result<(), Error> {
        let mut stale: Vec<String> = Vec::new();
        for number in &inventory.segments {
            if !self
                .segments
                .iter()
                .any(|segment| segment.number == *number)
            {
                stale.push(segment::name(*number));
            }
        }
        for index in &inventory.snapshots {
            if *index < self.snapshot {
                stale.push(snapshot::name(*index));
            }
        }
        stale.extend(
            inventory
                .temporary_names
                .iter()
                .map(|&name| name.to_owned()),
        );
        // The rename of the snapshot may not be durable yet, and what it replaces goes now.
        self.run("sync the folder of", "the log", F::sync_folder)?;
        for name in &stale {
            self.run("remove", name, |it| it.remove(name))?;
        }
        self.run("sync the folder of", "the log", F::sync_folder)
    }

    /// Truncates a torn tail, and syncs the rest: after a kill it may be only in memory.
    fn make_durable(&mut self, end: usize) -> Result<(), Error> {
        let name = segment::name(self.segment_number());
        self.offset = end as u64;
        let length = self.offset;
        self.run("cut", &name, |it| it.truncate(&name, length))?;
        self.run("sync", &name, |it| it.sync(&name))?;
        self.write_marker()
    }
}

/// Drops a newest segment that is not in use yet, and checks that only the last is open.
fn check_closed(segments: &mut Vec<Segment>) -> Result<(), Error> {
    if let [.., before, newest] = segments.as_slice()
        && !before.closed
        && newest.items.is_empty()
        && !newest.closed
    {
        segments.pop();
    }
    let Some((newest, before)) = segments.split_last() else {
        return Err(Error::Missing {
            file: "every log segment".to_owned(),
        });
    };
    if let Some(open) = before.iter().find(|it| !it.closed) {
        return Err(Error::Damaged {
            file: segment::name(open.number),
            offset: open.end as u64,
            reason: "the segment ends before its closing record",
        });
    }
    if newest.closed {
        return Err(Error::Missing {
            file: format!("log segment {:?}", segment::name(newest.number + 1)),
        });
    }
    Ok(())
}

/// The log replayed from a sequence of segments.
#[derive(Debug)]
struct Log {
    segments: Vec<SegmentMeta>,
    hard: Vec<u8>,
    last: Index,
    records: Vec<Record>,
}

impl Log {
    /// Replays segments; skips records up to the snapshot and before the first
    /// valid segment.
    fn replay(segments: Vec<Segment>, snapshot: Index, first_valid: u64) -> Result<Self, Error> {
        let mut log = Self {
            segments: Vec::new(),
            hard: Vec::new(),
            last: 0,
            records: Vec::new(),
        };
        for segment in segments {
            log.check_base(&segment, snapshot, first_valid)?;
            log.segments.push(SegmentMeta {
                number: segment.number,
                base: segment.header.base,
            });
            log.last = segment.header.base;
            log.hard = segment.header.hard;
            for item in segment.items {
                log.apply(item, segment.number)?;
            }
        }
        let newest = log.segments.last().map_or(0, |segment| segment.number);
        if newest < first_valid {
            log.last = snapshot;
            log.records.clear();
        }
        log.records.retain(|record| record.index > snapshot);
        Ok(log)
    }

    fn check_base(
        &mut self,
        segment: &Segment,
        snapshot: Index,
        first_valid: u64,
    ) -> Result<(), Error> {
        let base = segment.header.base;
        if segment.number == first_valid {
            self.records.clear();
            return Ok(());
        }
        let follows = !self.segments.is_empty() && base == self.last;
        let covered = base <= snapshot && (self.segments.is_empty() || base > self.last);
        if covered {
            self.records.clear();
        }
        if follows || covered {
            return Ok(());
        }
        let before = segment.number.saturating_sub(1);
        Err(Error::Missing {
            file: format!(
                "log segment {:?} or a newer snapshot",
                segment::name(before)
            ),
        })
    }

    fn apply(&mut self, item: Item, number: u64) -> Result<(), Error> {
        match item {
            Item::Hard(hard) => self.hard = hard,
            Item::Entry(record) if record.index == 0 || record.index > self.last + 1 => {
                return Err(Error::Damaged {
                    file: segment::name(number),
                    offset: 0,
                    reason: "the records leave a gap",
                });
            }
            Item::Entry(record) => {
                let keep = self.records.partition_point(|it| it.index < record.index);
                self.records.truncate(keep);
                self.last = record.index;
                self.records.push(record);
            }
        }
        Ok(())
    }
}
