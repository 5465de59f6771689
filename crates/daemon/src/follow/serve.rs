//! Answers to daemons that follow this one.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use bytes::Bytes;
use citron_policy::{feed::Answer, id::Index};
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

/// An encoded snapshot, cached while followers request its parts.
#[derive(Debug)]
pub(super) struct EncodedSnapshot {
    index: Index,
    bytes: Bytes,
    /// When a part was last requested.
    pub(super) last_requested: Instant,
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
    message: proto::Message,
) -> Result<proto::Message, String> {
    let arrived = clock::now();
    let Some(Body::Pull(pull)) = message.body else {
        return Err("not a question of the feed: upgrade the older daemon".to_owned());
    };
    let body = if pull.snapshot != 0 || pull.whole {
        snapshot_part(&follow, pull.snapshot, pull.offset)
    } else {
        let held = Held::new(&follow.inner.held);
        let held = held.ok_or("too many daemons follow this one: ask another")?;
        wait_until_due(&follow, arrived, &pull).await;
        drop(held);
        news(&follow, arrived, pull.index)
    };
    body.map(codec::message).map_err(|error| error.to_string())
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

fn news(follow: &Follow, arrived: Instant, index: Index) -> Result<Body, codec::Error> {
    let answer = follow.inner.feed.borrow().answer(arrived, index);
    match answer {
        Answer::News(news) => codec::news_to_proto(&news).map(Body::News),
        Answer::Snapshot(_) => snapshot_part(follow, 0, 0),
    }
}

/// A part of the cached snapshot, or the first part of a new one.
fn snapshot_part(follow: &Follow, index: Index, offset: u64) -> Result<Body, codec::Error> {
    let mut cached = follow.inner.snapshot.borrow_mut();
    let continues = |it: &EncodedSnapshot| it.index == index && offset <= it.bytes.len() as u64;
    let current = follow.inner.feed.borrow().view().index;
    let reuse = cached.as_ref().is_some_and(|it| {
        if offset == 0 {
            it.index == current
        } else {
            continues(it)
        }
    });
    let offset = if reuse { offset } else { 0 };
    if !reuse {
        *cached = None;
    }
    let encoded = match &mut *cached {
        Some(encoded) => encoded,
        None => cached.insert(encode(follow)?),
    };
    encoded.last_requested = clock::now();
    let start = usize::try_from(offset)
        .unwrap_or(usize::MAX)
        .min(encoded.bytes.len());
    let end = (start + PART_BYTES).min(encoded.bytes.len());
    Ok(Body::Part(proto::Part {
        index: encoded.index,
        offset,
        total: encoded.bytes.len() as u64,
        bytes: encoded.bytes.slice(start..end),
    }))
}

fn encode(follow: &Follow) -> Result<EncodedSnapshot, codec::Error> {
    let snapshot = follow.inner.feed.borrow().snapshot();
    follow.inner.metrics.snapshot_encoded();
    Ok(EncodedSnapshot {
        index: snapshot.index,
        bytes: codec::encode_snapshot(&snapshot)?,
        last_requested: clock::now(),
    })
}
