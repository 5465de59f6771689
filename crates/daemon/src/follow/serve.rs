//! Answers to daemons that follow this one.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use bytes::Bytes;
use citron_policy::{
    feed::Answer,
    id::{Index, InstanceId},
};
use citron_wire::{
    feed::{self as codec, PART_BYTES},
    generated::feed as proto,
};
use proto::message::Body;

use super::Follow;
use crate::clock;

/// Shortest wait before a held request is checked again.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// Most requests held at once.
const MAX_HELD: usize = 64;

/// Most encoded snapshots cached: the newest, and older ones that followers still fetch.
const MAX_SNAPSHOTS: usize = 4;

/// Age up to which an encoded snapshot is handed out though a newer state is in force,
/// so that a series of changes does not make one snapshot each.
const SNAPSHOT_REUSE: Duration = Duration::from_millis(500);

/// Time without requests after which an encoded snapshot is dropped.
const SNAPSHOT_TTL: Duration = Duration::from_secs(10);

/// Encoded snapshots, oldest first, cached while followers fetch their parts.
#[derive(Debug, Default)]
pub(super) struct Snapshots {
    cached: Vec<EncodedSnapshot>,
}

#[derive(Debug)]
struct EncodedSnapshot {
    index: Index,
    bytes: Bytes,
    encoded_at: Instant,
    last_requested: Instant,
}

impl Snapshots {
    /// Drops snapshots that nobody fetches any more.
    pub(super) fn drop_idle(&mut self, now: Instant) {
        self.cached
            .retain(|it| now.saturating_duration_since(it.last_requested) < SNAPSHOT_TTL);
    }

    /// The snapshot of exactly this index.
    fn at(&mut self, index: Index) -> Option<&mut EncodedSnapshot> {
        self.cached.iter_mut().find(|it| it.index == index)
    }

    /// The newest snapshot, if it is recent and tells a follower at `index` something.
    fn recent(&mut self, now: Instant, index: Index) -> Option<&mut EncodedSnapshot> {
        self.cached.last_mut().filter(|it| {
            it.index > index && now.saturating_duration_since(it.encoded_at) < SNAPSHOT_REUSE
        })
    }

    fn insert(&mut self, snapshot: EncodedSnapshot) {
        if self.cached.len() >= MAX_SNAPSHOTS {
            self.cached.remove(0);
        }
        self.cached.push(snapshot);
    }
}

/// Counts a held request until it is dropped.
struct Held<'a> {
    count: &'a Cell<usize>,
}

impl<'a> Held<'a> {
    fn new(count: &'a Cell<usize>) -> Option<Self> {
        if count.get() >= MAX_HELD {
            return None;
        }
        count.set(count.get() + 1);
        Some(Self { count })
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// Answers one request, holding it while there is nothing new.
pub(super) async fn answer(
    follow: Follow,
    from: InstanceId,
    message: proto::Message,
) -> Result<proto::Message, String> {
    let arrived = clock::now();
    let Some(Body::Pull(pull)) = message.body else {
        return Err("not a question of the feed: upgrade the older daemon".to_owned());
    };
    let body = if pull.snapshot != 0 || pull.whole {
        snapshot_part(&follow, &from, &pull)
    } else {
        let held = Held::new(&follow.inner.held);
        let held = held.ok_or("too many daemons follow this one: ask another")?;
        wait_until_due(&follow, arrived, &pull).await;
        drop(held);
        news(&follow, &from, arrived, &pull)
    };
    body.map(codec::message)
}

/// Waits until the request is due for an answer.
async fn wait_until_due(follow: &Follow, arrived: Instant, pull: &proto::Pull) {
    let max_hold = Duration::from_millis(pull.hold_ms.into());
    let mut view = follow.view();
    loop {
        view.mark_unchanged();
        let now = clock::now();
        let (due, wait) = {
            let feed = follow.inner.feed.borrow();
            let left = max_hold.saturating_sub(now.saturating_duration_since(arrived));
            (
                feed.is_due(now, arrived, pull.index, max_hold),
                feed.until_due(now, left),
            )
        };
        if due {
            return;
        }
        tokio::select! {
            () = actix_rt::time::sleep(wait.max(MIN_WAIT)) => {}
            changed = view.changed() => if changed.is_err() { return },
        }
    }
}

fn news(
    follow: &Follow,
    from: &InstanceId,
    arrived: Instant,
    pull: &proto::Pull,
) -> Result<Body, String> {
    let answer = follow.inner.feed.borrow().answer(arrived, pull.index);
    match answer {
        Answer::News(news) => codec::news_to_proto(&news)
            .map(Body::News)
            .map_err(|error| error.to_string()),
        Answer::Snapshot(_) => snapshot_part(follow, from, pull),
    }
}

/// The next part of the snapshot that a follower fetches, or the first part of one.
fn snapshot_part(follow: &Follow, from: &InstanceId, pull: &proto::Pull) -> Result<Body, String> {
    let now = clock::now();
    let mut admission = follow.inner.admission.borrow_mut();
    if !admission.admits(now, from) {
        return Err("too many daemons fetch a snapshot here: ask another".to_owned());
    }
    let mut snapshots = follow.inner.snapshots.borrow_mut();
    let current = follow.inner.feed.borrow().view().index;
    let (index, offset) = if pull.snapshot != 0 && snapshots.at(pull.snapshot).is_some() {
        (pull.snapshot, pull.offset)
    } else if let Some(recent) = snapshots.recent(now, pull.index).filter(|_| !pull.whole) {
        (recent.index, 0)
    } else {
        (current, 0)
    };
    if snapshots.at(index).is_none() {
        snapshots.insert(encode(follow, now).map_err(|error| error.to_string())?);
    }
    let encoded = snapshots.at(index).ok_or("no snapshot: ask another")?;
    encoded.last_requested = now;
    let start = usize::try_from(offset)
        .unwrap_or(usize::MAX)
        .min(encoded.bytes.len());
    let end = (start + PART_BYTES).min(encoded.bytes.len());
    if end == encoded.bytes.len() {
        admission.finished(from);
    }
    Ok(Body::Part(proto::Part {
        index: encoded.index,
        offset,
        total: encoded.bytes.len() as u64,
        bytes: encoded.bytes.slice(start..end),
    }))
}

fn encode(follow: &Follow, now: Instant) -> Result<EncodedSnapshot, codec::Error> {
    let snapshot = follow.inner.feed.borrow().snapshot();
    follow.inner.metrics.snapshot_encoded();
    Ok(EncodedSnapshot {
        index: snapshot.index,
        bytes: codec::encode_snapshot(&snapshot)?,
        encoded_at: now,
        last_requested: now,
    })
}
