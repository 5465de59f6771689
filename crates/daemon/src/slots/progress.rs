//! Progress of running streams, summed up by runner for the heartbeats.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use citron_policy::{
    arbiter::Progress,
    id::{RunnerId, ServiceId},
};
use indexmap::IndexMap;
use tokio::sync::Notify;

/// A running stream.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) service: ServiceId,
    runner: RunnerId,
    /// Whether its tokens are recorded, so that its silence is evidence of a slow runner.
    reports_progress: bool,
    granted: Instant,
    tokens: Cell<u32>,
    last_token: Cell<Option<Instant>>,
    /// Token count and time at the last heartbeat.
    at_heartbeat: Cell<(u32, Instant)>,
    preempted: Cell<bool>,
    notify: Notify,
}

impl Stream {
    pub(super) fn new(
        now: Instant,
        service: ServiceId,
        runner: RunnerId,
        reports_progress: bool,
    ) -> Self {
        Self {
            service,
            runner,
            reports_progress,
            granted: now,
            tokens: Cell::new(0),
            last_token: Cell::new(None),
            at_heartbeat: Cell::new((0, now)),
            preempted: Cell::new(false),
            notify: Notify::new(),
        }
    }

    pub(super) fn record_tokens(&self, now: Instant, tokens: u32) {
        if self.tokens.get() == 0 {
            self.at_heartbeat.set((tokens, now));
        }
        self.tokens.set(tokens);
        self.last_token.set(Some(now));
    }

    pub(super) fn preempt(&self) {
        self.preempted.set(true);
        self.notify.notify_waiters();
    }

    pub(super) async fn preempted(&self) {
        loop {
            let notified = self.notify.notified();
            if self.preempted.get() {
                return;
            }
            notified.await;
        }
    }
}

/// Sums up the progress of the streams since the last heartbeat, by runner.
pub(super) fn sum<'streams, I>(now: Instant, streams: I) -> Vec<Progress>
where
    I: Iterator<Item = &'streams Stream>,
{
    let mut sums: IndexMap<&RunnerId, Sum> = IndexMap::new();
    for stream in streams.filter(|it| it.reports_progress) {
        let sum = sums.entry(&stream.runner).or_default();
        if stream.last_token.get().is_none() {
            let silent = now.saturating_duration_since(stream.granted);
            sum.silent = sum.silent.max(silent);
            continue;
        }
        let (before, at) = stream.at_heartbeat.replace((stream.tokens.get(), now));
        sum.tokens += stream.tokens.get().saturating_sub(before);
        sum.time += now.saturating_duration_since(at);
    }
    let progress = sums.into_iter().map(|(runner, sum)| Progress {
        runner: runner.clone(),
        silent: sum.silent,
        between_tokens: (!sum.time.is_zero()).then(|| sum.time / sum.tokens.max(1)),
    });
    progress.collect()
}

#[derive(Default)]
struct Sum {
    silent: Duration,
    time: Duration,
    tokens: u32,
}
