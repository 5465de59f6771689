//! Opening a folder: beginning a new one, or reading back what was synced.

use crate::{
    Error, Files, Index, Journal, Record, Recovered, ReplicaId, Settings, frame, identity,
    journal::Place,
    segment::{self, Body, Head, Item, Segment},
    snapshot,
};

/// Number of the first segment of a folder.
const FIRST_SEGMENT: u64 = 1;

/// Name that an identity has until it is whole and synced.
const UNFINISHED_IDENTITY: &str = "replica.tmp";

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
        places: Vec::new(),
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
    journal.begin(&names)?;
    let recovered = Recovered {
        id: new_id,
        hard: Vec::new(),
        snapshot: None,
        records: Vec::new(),
    };
    Ok((journal, recovered))
}

/// Files of a folder by kind.
#[derive(Debug, Default)]
struct Inventory {
    segments: Vec<u64>,
    snapshots: Vec<Index>,
    unfinished: Vec<&'static str>,
}

impl Inventory {
    fn of(names: &[String]) -> Self {
        let mut inventory = Self {
            segments: names.iter().filter_map(|it| segment::number(it)).collect(),
            snapshots: names.iter().filter_map(|it| snapshot::index(it)).collect(),
            unfinished: Vec::new(),
        };
        inventory.segments.sort_unstable();
        inventory.snapshots.sort_unstable();
        for name in [snapshot::UNFINISHED, UNFINISHED_IDENTITY] {
            if names.iter().any(|it| it == name) {
                inventory.unfinished.push(name);
            }
        }
        inventory
    }
}

impl<F> Journal<F>
where
    F: Files,
{
    /// Begins a folder. The identity comes last: a folder without one holds
    /// nothing that anybody was told of.
    fn begin(&mut self, names: &[String]) -> Result<(), Error> {
        self.check_never_used(names)?;
        let head = Head {
            replica: self.id,
            base: 0,
            hard: Vec::new(),
        };
        let head = frame::encode(FIRST_SEGMENT, 0, &Body::Head(head).encode());
        let name = segment::name(FIRST_SEGMENT);
        self.run("write", &name, |it| it.append(&name, &head))?;
        self.run("sync", &name, |it| it.sync(&name))?;
        self.run("sync the folder of", &name, F::sync_folder)?;
        let (temporary, target) = (UNFINISHED_IDENTITY, identity::NAME);
        let bytes = identity::encode(self.id);
        self.run("write", temporary, |it| it.append(temporary, &bytes))?;
        self.run("sync", temporary, |it| it.sync(temporary))?;
        self.run("rename", temporary, |it| it.rename(temporary, target))?;
        self.run("sync the folder of", target, F::sync_folder)?;
        self.places.push(Place {
            number: FIRST_SEGMENT,
            base: 0,
        });
        self.offset = head.len() as u64;
        self.write_marker()
    }

    /// Clears what an unfinished beginning left; refuses anything more.
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
        for name in inventory.unfinished {
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
        let segments = self.read_segments(&inventory.segments)?;
        let end = segments.last().map_or(0, |it| it.end);
        let log = Log::replay(segments, self.snapshot, first_valid)?;
        self.places = log.places;
        self.hard = log.hard;
        self.last = log.last.max(self.snapshot);
        self.synced = self.last;
        self.clear(&inventory)?;
        self.make_durable(end)?;
        if log.last < self.snapshot || self.segment() < first_valid {
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

    /// Reads the run of segments that ends with the newest one.
    ///
    /// Segments in front of a gap are what a lost removal brought back; whether
    /// a snapshot covers the gap shows in the first segment's base.
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
                // Only the newest can be one whose beginning was cut short.
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
        let (ours, theirs) = (self.id, segment.head.replica);
        if ours == theirs {
            return Ok(());
        }
        let file = segment::name(segment.number);
        Err(Error::Foreign { file, theirs, ours })
    }

    /// Removes what an unfinished step or a lost removal left behind.
    fn clear(&mut self, inventory: &Inventory) -> Result<(), Error> {
        let mut stale: Vec<String> = Vec::new();
        for number in &inventory.segments {
            if !self.places.iter().any(|place| place.number == *number) {
                stale.push(segment::name(*number));
            }
        }
        for index in &inventory.snapshots {
            if *index < self.snapshot {
                stale.push(snapshot::name(*index));
            }
        }
        stale.extend(inventory.unfinished.iter().map(|&name| name.to_owned()));
        for name in &stale {
            self.run("remove", name, |it| it.remove(name))?;
        }
        self.run("sync the folder of", "the log", F::sync_folder)
    }

    /// Cuts a torn tail, and syncs the rest: after a kill it may be in memory only.
    fn make_durable(&mut self, end: usize) -> Result<(), Error> {
        let name = segment::name(self.segment());
        self.offset = end as u64;
        let length = self.offset;
        self.run("cut", &name, |it| it.truncate(&name, length))?;
        self.run("sync", &name, |it| it.sync(&name))?;
        self.write_marker()
    }
}

/// Leaves out a newest segment that was not yet in use, and checks the rest.
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

/// The log that a run of segments amounts to.
#[derive(Debug)]
struct Log {
    places: Vec<Place>,
    hard: Vec<u8>,
    last: Index,
    records: Vec<Record>,
}

impl Log {
    /// Replays segments; records up to the snapshot and before the first valid
    /// segment are left out.
    fn replay(segments: Vec<Segment>, snapshot: Index, first_valid: u64) -> Result<Self, Error> {
        let mut log = Self {
            places: Vec::new(),
            hard: Vec::new(),
            last: 0,
            records: Vec::new(),
        };
        for segment in segments {
            log.check_base(&segment, snapshot, first_valid)?;
            log.places.push(Place {
                number: segment.number,
                base: segment.head.base,
            });
            log.last = segment.head.base;
            log.hard = segment.head.hard;
            for item in segment.items {
                log.take(item, segment.number)?;
            }
        }
        let newest = log.places.last().map_or(0, |place| place.number);
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
        let base = segment.head.base;
        if segment.number == first_valid {
            self.records.clear();
            return Ok(());
        }
        let follows = !self.places.is_empty() && base == self.last;
        let covered = base <= snapshot && (self.places.is_empty() || base > self.last);
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

    fn take(&mut self, item: Item, number: u64) -> Result<(), Error> {
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
