//! Keeps this daemon's view of the control log current, and serves it to others.
//!
//! A daemon long-polls a parent for updates above its own index. The parent holds
//! the request until it has an update, or a newer proof that the view is current,
//! or for about a second. A parent that does not answer in time, or has no fresh
//! proof itself, is replaced by the next one. The daemon of the leading replica
//! gets everything from that replica and polls no parent.

mod metrics;
mod serve;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use citron_policy::{
    catalogue::Catalogue,
    feed::{self, Admission, Feed, Local, Patience, View},
    id::{Index, InstanceId, Version},
    member::Members,
    relay,
};
use citron_wire::{
    Body,
    feed::{self as codec, MAX_SNAPSHOT_BYTES},
    generated::feed as proto,
};
use futures_util::future::LocalBoxFuture;
use prost::Message as _;
use tokio::sync::{mpsc, watch};

use crate::{
    clock,
    edge::Declarations,
    peers::{self, Hub},
};

pub use metrics::Metrics;

/// Age of this daemon's proof below which it polls no parent.
const FRESH_PROOF_AGE: Duration = Duration::from_millis(500);

/// Age of this daemon's proof from which it asks its parent not to hold the request.
const STALE_PROOF_AGE: Duration = Duration::from_millis(1_200);

/// Pause after a poll that brought nothing new, or when no poll is needed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time between two checks of the lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Tries for one part of a snapshot at one parent.
const PART_TRIES: u32 = 3;

/// Why a request brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unanswered {
    /// It did not come in time.
    Late,
    /// The parent refused, is not reachable, or sent something else.
    Refused,
}

/// Index covered by a view, and time of its latest proof.
type Progress = (Index, Option<Instant>);

/// Settings for following the control log.
#[derive(Clone, Default, derive_more::Debug)]
pub struct Settings {
    /// Limits and timing of the feed.
    pub feed: feed::Settings,
    /// Reads declarations of another format into the catalogue.
    #[debug(skip)]
    pub reader: Option<Rc<dyn Declarations>>,
}

/// Follows the control log for this daemon; clones share it.
#[derive(Clone)]
pub struct Follow {
    inner: Rc<Inner>,
}

struct Inner {
    hub: Hub,
    members: watch::Receiver<Arc<Members>>,
    feed: RefCell<Feed>,
    reader: Option<Rc<dyn Declarations>>,
    /// Version of the declaration in force, and the catalogue that the reader made of it.
    declared: RefCell<Option<(Version, Arc<Catalogue>)>>,
    view: watch::Sender<Arc<View>>,
    held: Cell<usize>,
    snapshots: RefCell<serve::Snapshots>,
    /// Followers that fetch a snapshot here.
    admission: RefCell<Admission>,
    /// Wait for answers of this daemon's parents.
    patience: Cell<Patience>,
    metrics: Metrics,
}

impl std::fmt::Debug for Follow {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Follow")
            .field("me", self.inner.hub.me())
            .field("index", &self.inner.feed.borrow().view().index)
            .finish_non_exhaustive()
    }
}

impl Follow {
    /// Starts following; `local` comes from this daemon's control replica, if it has one.
    #[must_use]
    pub fn start(
        settings: Settings,
        hub: Hub,
        members: watch::Receiver<Arc<Members>>,
        local: Option<mpsc::Receiver<Local>>,
    ) -> Self {
        let inner = Inner {
            hub,
            members,
            feed: RefCell::new(Feed::new(settings.feed)),
            reader: settings.reader,
            declared: RefCell::default(),
            view: watch::Sender::new(Arc::default()),
            held: Cell::new(0),
            snapshots: RefCell::default(),
            admission: RefCell::default(),
            patience: Cell::default(),
            metrics: Metrics::default(),
        };
        let follow = Self {
            inner: Rc::new(inner),
        };
        if let Some(local) = local {
            actix_rt::spawn(follow.clone().apply_local(local));
        }
        actix_rt::spawn(follow.clone().poll_parents());
        actix_rt::spawn(follow.clone().watch_lease());
        follow
    }

    /// The view in force on this daemon.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.inner.view.subscribe()
    }

    /// Whether the catalogue in force is known to be current.
    #[must_use]
    pub fn may_take_work(&self, now: Instant) -> bool {
        self.inner.feed.borrow().may_take_work(now)
    }

    /// Ignores a one-way message: the feed has only calls.
    pub fn on_message(&self, from: &InstanceId, message: proto::Message) {
        drop(message);
        log::debug!("CP0707 one-way message from {from} ignored: the feed only has calls");
    }

    /// Answers a call of the feed.
    #[must_use]
    pub fn on_call(
        &self,
        from: &InstanceId,
        message: proto::Message,
    ) -> LocalBoxFuture<'static, Result<proto::Message, String>> {
        log::trace!("feed request from {from}");
        Box::pin(serve::answer(self.clone(), from.clone(), message))
    }

    /// Counters of the feed.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    async fn apply_local(self, mut local: mpsc::Receiver<Local>) {
        while let Some(first) = local.recv().await {
            // Queued updates, as after a restart, are published together as one view.
            self.update_feed(|feed| {
                let mut changed = feed.apply_local(first);
                while let Ok(next) = local.try_recv() {
                    changed |= feed.apply_local(next);
                }
                changed
            });
        }
    }

    /// Polls parents forever, and moves on to the next one when a poll brings nothing new.
    async fn poll_parents(self) {
        let mut attempt = 0;
        let mut known = Vec::new();
        loop {
            let parents = relay::parents(self.inner.hub.me(), &self.inner.members.borrow());
            if parents != known {
                known.clone_from(&parents);
                attempt = 0;
            }
            if self.has_fresh_proof() || parents.is_empty() {
                actix_rt::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            let parent = &parents[attempt % parents.len()];
            if !self.poll(parent).await {
                attempt += 1;
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Whether the proof is too recent for a poll, as it is while the local replica leads.
    fn has_fresh_proof(&self) -> bool {
        let age = self.inner.feed.borrow().proof_age(clock::now());
        age.is_some_and(|age| age < FRESH_PROOF_AGE)
    }

    /// Polls a parent once; false if the next poll should go to another one.
    async fn poll(&self, parent: &InstanceId) -> bool {
        let sent = clock::now();
        let before = self.progress();
        let (pull, hold) = self.next_pull(sent);
        let answer = self.call(parent, pull, hold).await.ok();
        let now = clock::now();
        match answer {
            Some(proto::message::Body::News(news)) => {
                let bytes = news.encoded_len();
                self.apply_news(parent, now, sent, news);
                self.log_catch_up(parent, now, sent, before, bytes);
            }
            Some(proto::message::Body::Part(part)) => {
                self.fetch_snapshot(parent, sent, part).await;
            }
            Some(proto::message::Body::Pull(_)) | None => return false,
        }
        // A parent that brings neither updates nor a newer proof is itself cut off.
        self.progress() != before
    }

    /// Logs updates that reached this daemon while its proof was old or absent.
    fn log_catch_up(
        &self,
        parent: &InstanceId,
        now: Instant,
        sent: Instant,
        before: Progress,
        bytes: usize,
    ) {
        let (from, proved) = before;
        let (to, _) = self.progress();
        let behind = proved.is_none_or(|at| sent.saturating_duration_since(at) >= STALE_PROOF_AGE);
        if behind && to > from {
            let took = now.saturating_duration_since(sent);
            log::info!(
                event = "CP0711", parent = parent.as_str(), from, to, bytes,
                took_ms = took.as_millis(); "updates applied after a time without proof"
            );
        }
    }

    /// Index covered by the view, and time of its latest proof.
    fn progress(&self) -> Progress {
        let feed = self.inner.feed.borrow();
        (feed.covered_index(), feed.view().proved)
    }

    fn next_pull(&self, now: Instant) -> (proto::Pull, Duration) {
        let feed = self.inner.feed.borrow();
        let fresh = feed.proof_age(now).is_some_and(|age| age < STALE_PROOF_AGE);
        let hold = if fresh {
            feed.settings().max_hold
        } else {
            Duration::ZERO
        };
        let pull = proto::Pull {
            index: feed.covered_index(),
            hold_ms: u32::try_from(hold.as_millis()).unwrap_or(u32::MAX),
            whole: feed.is_damaged(),
            ..proto::Pull::default()
        };
        (pull, hold)
    }

    /// Sends one request that the parent may hold for `hold`; gives up early when the
    /// parent is no longer one to follow.
    async fn call(
        &self,
        parent: &InstanceId,
        pull: proto::Pull,
        hold: Duration,
    ) -> Result<proto::message::Body, Unanswered> {
        let begun = clock::now();
        let within = hold + self.inner.patience.get().wait(self.may_take_work(begun));
        let (index, offset) = (pull.index.max(pull.snapshot), pull.offset);
        let body = Body::Feed(codec::message(proto::message::Body::Pull(pull)));
        let outcome = tokio::select! {
            outcome = self.inner.hub.call(parent, body, within) => outcome,
            () = self.until_not_a_parent(parent) => {
                log::info!(
                    event = "CP0702", parent = parent.as_str(), index, offset,
                    waited_ms = clock::now().saturating_duration_since(begun).as_millis();
                    "poll not answered: the parent is not reachable"
                );
                return Err(Unanswered::Refused);
            }
        };
        match outcome {
            Ok(Body::Feed(message)) => {
                self.inner.metrics.answered();
                self.update_patience(Patience::answered);
                message.body.ok_or(Unanswered::Refused)
            }
            Ok(_) => Err(Unanswered::Refused),
            Err(error) => {
                self.inner.metrics.unanswered();
                let waited = clock::now().saturating_duration_since(begun);
                log::info!(
                    event = "CP0702", parent = parent.as_str(), index, offset,
                    waited_ms = waited.as_millis(); "poll not answered: {error}"
                );
                if !matches!(error, peers::Error::Late { .. }) {
                    return Err(Unanswered::Refused);
                }
                self.update_patience(Patience::late);
                Err(Unanswered::Late)
            }
        }
    }

    fn update_patience<F>(&self, update: F)
    where
        F: FnOnce(&mut Patience),
    {
        let mut patience = self.inner.patience.get();
        update(&mut patience);
        self.inner.patience.set(patience);
    }

    /// Resolves when an instance is no longer among the parents to follow.
    async fn until_not_a_parent(&self, parent: &InstanceId) {
        let mut members = self.inner.members.clone();
        let me = self.inner.hub.me();
        while relay::parents(me, &members.borrow_and_update()).contains(parent) {
            if members.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    fn apply_news(&self, parent: &InstanceId, now: Instant, sent: Instant, news: proto::News) {
        match codec::news_from_proto(news) {
            Ok(news) => self.update_feed(|feed| feed.apply_news(now, sent, news)),
            Err(error) => {
                self.inner.metrics.refused();
                log::warn!("CP0704 answer of instance {parent} refused: {error}");
            }
        }
    }

    /// Fetches the remaining parts of a snapshot and applies it.
    async fn fetch_snapshot(&self, parent: &InstanceId, begun: Instant, first: proto::Part) {
        let total = first.total;
        let Some(bytes) = self.fetch_parts(parent, first).await else {
            self.inner.metrics.refused();
            log::info!(
                event = "CP0710", parent = parent.as_str(), total,
                took_ms = clock::now().saturating_duration_since(begun).as_millis();
                "snapshot given up"
            );
            return;
        };
        match codec::decode_snapshot(bytes) {
            Ok(snapshot) => {
                let (index, revision) = (snapshot.index, snapshot.catalogue.revision);
                self.update_feed(|feed| feed.apply_snapshot(snapshot));
                self.inner.metrics.snapshot_taken();
                log::info!(
                    event = "CP0703", parent = parent.as_str(), index, revision, bytes = total,
                    took_ms = clock::now().saturating_duration_since(begun).as_millis();
                    "snapshot applied"
                );
            }
            Err(error) => {
                self.inner.metrics.refused();
                log::warn!("CP0704 answer of instance {parent} refused: {error}");
            }
        }
    }

    async fn fetch_parts(&self, parent: &InstanceId, first: proto::Part) -> Option<Bytes> {
        let (index, total) = (first.index, usize::try_from(first.total).ok()?);
        if first.offset != 0 || total > MAX_SNAPSHOT_BYTES {
            return None;
        }
        let mut bytes = BytesMut::from(&*first.bytes);
        while bytes.len() < total {
            let pull = proto::Pull {
                snapshot: index,
                offset: bytes.len() as u64,
                ..proto::Pull::default()
            };
            let Ok(proto::message::Body::Part(part)) = self.call_for_part(parent, pull).await
            else {
                return None;
            };
            let follows = part.index == index && part.offset == bytes.len() as u64;
            if !follows || part.bytes.is_empty() {
                return None;
            }
            bytes.extend_from_slice(&part.bytes);
        }
        (bytes.len() == total).then(|| bytes.freeze())
    }

    /// Asks for a part of a snapshot, again if it is late: the parts before it are kept.
    async fn call_for_part(
        &self,
        parent: &InstanceId,
        pull: proto::Pull,
    ) -> Result<proto::message::Body, Unanswered> {
        for _ in 1..PART_TRIES {
            match self.call(parent, pull, Duration::ZERO).await {
                Err(Unanswered::Late) => {}
                answer => return answer,
            }
        }
        self.call(parent, pull, Duration::ZERO).await
    }

    /// Updates the feed, and publishes the view if it changed.
    fn update_feed<F>(&self, update: F)
    where
        F: FnOnce(&mut Feed) -> bool,
    {
        let (changed, view, damaged) = {
            let mut feed = self.inner.feed.borrow_mut();
            let before = feed.is_damaged();
            let changed = update(&mut feed);
            let damaged = feed.is_damaged() && !before;
            (changed, feed.view().clone(), damaged)
        };
        if damaged {
            log::error!(
                "CP0706 an accepted change cannot be applied to revision {}: requesting a snapshot",
                view.catalogue.revision
            );
        }
        if changed {
            let view = self.with_declared_catalogue(view);
            self.inner.view.send_replace(Arc::new(view));
        }
    }

    /// Replaces the catalogue of a view by the one that its declaration yields.
    fn with_declared_catalogue(&self, view: View) -> View {
        let (Some(reader), Some(declaration)) = (&self.inner.reader, &view.declaration) else {
            return view;
        };
        let mut declared = self.inner.declared.borrow_mut();
        if declared
            .as_ref()
            .is_none_or(|it| it.0 != declaration.version)
        {
            match reader.read(&declaration.source) {
                Ok(reading) => {
                    let version = declaration.version;
                    log::info!(event = "CP0708", version; "declaration in force");
                    *declared = Some((version, Arc::new(reading.catalogue)));
                }
                // A declaration is parsed before it is accepted, so this release is older
                // than the one that accepted it.
                Err(error) => log::error!(
                    event = "CP0709", version = declaration.version;
                    "declaration cannot be read: {error}"
                ),
            }
        }
        match declared.as_ref() {
            Some((_, catalogue)) => View {
                catalogue: Arc::clone(catalogue),
                ..view
            },
            None => view,
        }
    }

    /// Logs when the lease expires and when it is renewed; also updates the metrics and
    /// drops an idle snapshot.
    async fn watch_lease(self) {
        let mut held = false;
        loop {
            let now = clock::now();
            let holds = self.may_take_work(now);
            if holds && !held {
                log::info!("CP0701 the catalogue is known to be current: accepting work");
            }
            if held && !holds {
                log::warn!("CP0705 no proof that the catalogue is current: not accepting new work");
            }
            held = holds;
            self.inner
                .metrics
                .observe(now, &self.inner.feed.borrow(), self.inner.held.get());
            self.inner.snapshots.borrow_mut().drop_idle(now);
            actix_rt::time::sleep(LEASE_CHECK_INTERVAL).await;
        }
    }

    /// Index of the view, for tests and status.
    #[must_use]
    pub fn index(&self) -> Index {
        self.inner.feed.borrow().view().index
    }
}
