//! Number of runners that a service needs, from the load that is reported.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::{Demand, Settings, to_f64};
use crate::id::InstanceId;

/// Largest factor by which refused and waiting requests raise the load. Callers repeat
/// refused requests, so that their number overstates what is missing.
const MAX_EXCESS: f64 = 2.0;

/// Time for which the load seen by another host of the service counts. Reports come
/// every 500 ms, so that a host that was replaced drops out after its second report is
/// missing.
const SENDER_TIMEOUT: Duration = Duration::from_millis(1_100);

/// What determines the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    Prefill,
    Slots,
    Memory,
}

/// Load of a service over time, in runners.
#[derive(Clone, Debug, Default)]
pub(super) struct Need {
    /// Latest load from each host of an arbiter of the service.
    senders: IndexMap<InstanceId, (Instant, f64)>,
    smoothed: Option<(Instant, f64)>,
    /// Loads of the time for which a rise must last, the oldest first.
    latest: VecDeque<(Instant, f64)>,
    /// Smoothed loads of the hold time, the oldest first.
    recent: VecDeque<(Instant, f64)>,
    /// Smoothed share of the urgent tiers.
    urgent: Option<f64>,
    pub(super) cause: Option<Cause>,
}

impl Need {
    /// Records a report; a load above the need counts only as far as it has lasted `sustain`.
    pub(super) fn on_demand(
        &mut self,
        now: Instant,
        from: &InstanceId,
        demand: &Demand,
        settings: &Settings,
        sustain: Duration,
    ) {
        let last = self.smoothed.map(|(_, load)| load);
        // Without a usable runner there is no load, though there may be need.
        let load = if demand.usable == 0 {
            last.unwrap_or_default()
        } else {
            let (load, cause) = load(demand, settings);
            self.cause = Some(cause);
            self.senders.insert(from.clone(), (now, load));
            self.senders
                .retain(|_, (at, _)| now.saturating_duration_since(*at) < SENDER_TIMEOUT);
            self.senders.values().map(|(_, load)| load).sum()
        };
        let gain = self.smoothed.map_or(1.0, |(at, _)| {
            let passed = now.saturating_duration_since(at);
            1.0 - (-passed.as_secs_f64() / settings.smoothing.as_secs_f64()).exp()
        });
        let last = last.unwrap_or(load);
        let smoothed = last + gain * (load - last);
        self.smoothed = Some((now, smoothed));
        if demand.usable > 0 {
            let urgent = self.urgent.get_or_insert(demand.urgent);
            *urgent += gain * (demand.urgent - *urgent);
        }
        push(&mut self.latest, now, load, sustain);
        let lasting = self.latest.iter().map(|(_, it)| *it).fold(load, f64::min);
        let counted = smoothed.min(lasting.max(self.runners()));
        push(&mut self.recent, now, counted, settings.hold);
    }

    /// Runners that the load of the hold time needs.
    pub(super) fn runners(&self) -> f64 {
        self.recent.iter().map(|(_, it)| *it).fold(0.0, f64::max)
    }

    /// Share of the urgent tiers.
    pub(super) fn urgent(&self) -> f64 {
        self.urgent.unwrap_or(1.0)
    }
}

/// Adds a value to those of a span of time, and drops the ones before it.
fn push(values: &mut VecDeque<(Instant, f64)>, now: Instant, value: f64, span: Duration) {
    values.push_back((now, value));
    while let Some((at, _)) = values.front()
        && now.saturating_duration_since(*at) > span
    {
        values.pop_front();
    }
}

/// Runners that the load of one report needs, and what determines them.
fn load(demand: &Demand, settings: &Settings) -> (f64, Cause) {
    let waiting: f64 = demand.waiting.iter().sum();
    let slots = to_f64(demand.slots.max(1));
    let held = (demand.held + waiting / slots).min(MAX_EXCESS);
    let shares = [
        (demand.prefill / settings.prefill_target, Cause::Prefill),
        (held / settings.slot_target, Cause::Slots),
        (demand.memory / settings.memory_target, Cause::Memory),
    ];
    let (share, cause) = shares
        .into_iter()
        .fold(shares[0], |a, b| if b.0 > a.0 { b } else { a });
    let refused = to_f64(demand.refused) / to_f64(demand.granted.max(1));
    let excess = (1.0 + refused).min(MAX_EXCESS);
    (to_f64(demand.usable) * share * excess, cause)
}
