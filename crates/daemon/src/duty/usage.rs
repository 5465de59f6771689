//! Reports of usage: starts of requests, from all daemons to the holder of the duties,
//! and from there to the platform.
//!
//! Every daemon sends its starts twice a second to two daemons with a replica of the
//! control log, so that the next holder has them if the present one is lost
//! ([`citron_policy::usage`]).

mod metrics;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use actix_http::StatusCode;
use citron_policy::{
    id::{FencingToken, InstanceId},
    member::Members,
    usage::{Collector, Recorder, Report, Reporter, Settings, Timeliness, View, Window},
};
use citron_wire::{Body, duty::Received, generated::duty as proto};
use futures_util::future::join_all;
use indexmap::IndexSet;
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use super::{Duty, candidates};
use crate::{clock, event::millis, peers::Hub};
use metrics::{Metrics, Sent};

/// Time between two reports to a receiver.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a report; one that was lost is sent again with the next.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of the last reports of a daemon that leaves.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Daemons that each report is sent to.
const RECEIVERS: usize = 2;

/// Time between two looks for windows to fix or to report.
const TICK: Duration = Duration::from_millis(100);

/// The reports of usage of this daemon; clones share them.
#[derive(Clone, Debug)]
pub struct Usage {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: Settings,
    duty: Duty,
    hub: Hub,
    members: watch::Receiver<Arc<Members>>,
    recorder: RefCell<Recorder>,
    collector: RefCell<Collector>,
    reporter: RefCell<Reporter>,
    /// Holder named by the answers, with the highest token.
    holder: RefCell<Option<(InstanceId, FencingToken)>>,
    /// Receivers that have not answered yet.
    waiting: RefCell<IndexSet<InstanceId>>,
    /// Starts that the recorder had dropped when this was last logged.
    dropped: Cell<u64>,
    metrics: Metrics,
}

impl Usage {
    /// Starts to report, if the duties include usage.
    #[must_use]
    pub fn start(duty: &Duty, hub: Hub) -> Option<Self> {
        let settings = duty.settings().usage?;
        let now = clock::now();
        let inner = Inner {
            settings,
            duty: duty.clone(),
            hub,
            members: duty.inner.ports.members.clone(),
            recorder: RefCell::new(Recorder::new(now, rand::random())),
            collector: RefCell::new(Collector::new(now)),
            reporter: RefCell::new(Reporter::new(settings)),
            holder: RefCell::default(),
            waiting: RefCell::default(),
            dropped: Cell::default(),
            metrics: Metrics::default(),
        };
        let usage = Self {
            inner: Rc::new(inner),
        };
        actix_rt::spawn(usage.clone().run_reports());
        if duty.is_candidate() {
            actix_rt::spawn(usage.clone().run_fixing());
            actix_rt::spawn(usage.clone().run_sending());
        }
        Some(usage)
    }

    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        self.inner.metrics.register(registry);
    }

    /// Records that a request of an account began to run.
    pub fn record(&self, account: &str) {
        let mut recorder = self.inner.recorder.borrow_mut();
        recorder.record(clock::now(), account);
        self.inner.metrics.on_recorded();
    }

    /// Answers a report of a peer.
    ///
    /// # Errors
    /// The reason for a refusal.
    pub fn on_call(
        &self,
        from: &InstanceId,
        message: proto::Message,
    ) -> Result<proto::Message, String> {
        if !self.inner.duty.is_candidate() {
            return Err("no replica of the control log here: ask another daemon".to_owned());
        }
        let report = Report::try_from(message).map_err(|error| error.to_string())?;
        let next = self.collect(from, &report);
        let record = self.inner.duty.record();
        let holder = record.map(|it| (it.instance, it.token));
        Ok(Received { holder, next }.into())
    }

    /// Sends the last starts of a daemon that leaves, to others.
    pub async fn flush(&self) {
        let is_other = |it: &InstanceId| it != self.inner.hub.me();
        let receivers: Vec<InstanceId> =
            self.receivers().filter(is_other).take(RECEIVERS).collect();
        join_all(receivers.iter().map(|it| self.report(it, FLUSH_TIMEOUT))).await;
    }

    fn collect(&self, from: &InstanceId, report: &Report) -> u64 {
        let mut collector = self.inner.collector.borrow_mut();
        collector.on_report(clock::now(), from, report)
    }

    /// Sends reports until the process ends.
    async fn run_reports(self) {
        // Daemons that start together do not report together.
        actix_rt::time::sleep(REPORT_INTERVAL.mul_f64(rand::random())).await;
        loop {
            for receiver in self.receivers().take(RECEIVERS) {
                if self.inner.waiting.borrow_mut().insert(receiver.clone()) {
                    let usage = self.clone();
                    actix_rt::spawn(async move {
                        usage.report(&receiver, REPORT_TIMEOUT).await;
                        usage.inner.waiting.borrow_mut().swap_remove(&receiver);
                    });
                }
            }
            self.note_dropped();
            actix_rt::time::sleep(REPORT_INTERVAL).await;
        }
    }

    /// The holder, if known, and then the other candidates.
    fn receivers(&self) -> impl Iterator<Item = InstanceId> + use<> {
        let inner = &self.inner;
        let candidates = candidates(&inner.members.borrow());
        let is_candidate = |id: &InstanceId| candidates.iter().any(|(it, _)| it == id);
        if let Some(record) = inner.duty.record() {
            self.note_holder(record.instance, record.token);
        }
        let mut known = inner.holder.borrow_mut();
        // Tokens of another holder may be lower only after the control log began anew.
        if known.as_ref().is_some_and(|(it, _)| !is_candidate(it)) {
            *known = None;
        }
        let holder = known.as_ref().map(|(it, _)| it.clone());
        let order = holder
            .into_iter()
            .chain(candidates.into_iter().map(|(id, _)| id));
        order.collect::<IndexSet<_>>().into_iter()
    }

    fn note_holder(&self, instance: InstanceId, token: FencingToken) {
        let mut known = self.inner.holder.borrow_mut();
        if known.as_ref().is_none_or(|(_, it)| token >= *it) {
            *known = Some((instance, token));
        }
    }

    async fn report(&self, receiver: &InstanceId, within: Duration) {
        let inner = &self.inner;
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let report =
            inner
                .recorder
                .borrow_mut()
                .report(clock::now(), wall.unwrap_or_default(), receiver);
        if receiver == inner.hub.me() {
            let next = self.collect(receiver, &report);
            inner.recorder.borrow_mut().on_received(receiver, next);
            return;
        }
        let answer = inner.hub.call(receiver, Body::Duty(report.into()), within);
        let answer = match answer.await {
            Ok(Body::Duty(message)) => Received::try_from(message).ok(),
            Ok(_) | Err(_) => None,
        };
        let Some(answer) = answer else {
            inner.metrics.on_sent(Sent::Lost);
            return;
        };
        inner.metrics.on_sent(Sent::Received);
        let mut recorder = inner.recorder.borrow_mut();
        recorder.on_received(receiver, answer.next);
        if let Some((holder, token)) = answer.holder {
            self.note_holder(holder, token);
        }
    }

    /// Logs that starts were dropped.
    fn note_dropped(&self) {
        let dropped = self.inner.recorder.borrow().dropped();
        let before = self.inner.dropped.replace(dropped);
        if dropped > before {
            log::warn!(
                event = "CP1213", dropped = dropped - before;
                "starts of requests dropped before they were reported"
            );
        }
    }

    /// Fixes the counts of windows while this daemon holds the duties.
    async fn run_fixing(self) {
        loop {
            self.update();
            let proposal = self.with_view(Reporter::next_to_fix);
            let Some(proposal) = proposal else {
                actix_rt::time::sleep(TICK).await;
                continue;
            };
            let (window, missing) = (proposal.window.number, proposal.missing);
            if missing > 0 {
                log::info!(
                    event = "CP1212", window, missing;
                    "counts of a window are fixed without the last reports of some daemons"
                );
            }
            if let Some(fixed) = self.inner.duty.fix(proposal.window).await {
                self.inner.reporter.borrow_mut().on_fixed(&fixed);
            }
        }
    }

    /// Takes note of the time, and logs what is past its due time.
    fn update(&self) {
        let holds = self.inner.duty.is_holder();
        let fixed = if holds {
            self.inner.duty.fixed()
        } else {
            citron_policy::usage::Fixed::default()
        };
        let skipped = self.with_view(|reporter, view| reporter.update(view, holds, &fixed));
        for it in skipped {
            self.inner.metrics.on_skipped();
            log::warn!(
                event = "CP1211", window = it.number, reason = it.reason.name();
                "a window of usage is not reported"
            );
        }
    }

    /// Reports windows to the platform while this daemon holds the duties.
    async fn run_sending(self) {
        loop {
            let window = self.inner.reporter.borrow_mut().next_to_send(clock::now());
            let Some(window) = window else {
                actix_rt::time::sleep(TICK).await;
                continue;
            };
            let outcome = self
                .inner
                .duty
                .call(|calls, fence| calls.usage(fence, &window))
                .await;
            if outcome.is_ok_and(|status: StatusCode| status.is_success()) {
                self.on_accepted(&window);
            }
        }
    }

    fn on_accepted(&self, window: &Window) {
        let number = window.number;
        let timeliness = self.with_view(|reporter, view| reporter.on_accepted(view, number));
        let is_late = timeliness == Timeliness::Late;
        self.inner.metrics.on_reported(is_late);
        log::info!(
            event = "CP1210", window = number, accounts = window.counts.len(),
            requests = window.counts.values().sum::<u64>(), late = is_late,
            window_ms = millis(self.inner.settings.window);
            "usage reported"
        );
    }

    fn with_view<F, R>(&self, ask: F) -> R
    where
        F: FnOnce(&mut Reporter, &View<'_>) -> R,
    {
        let collector = self.inner.collector.borrow();
        let members = self.inner.members.borrow();
        let view = View {
            now: clock::now(),
            collector: &collector,
            members: &members,
        };
        ask(&mut self.inner.reporter.borrow_mut(), &view)
    }
}
