//! Load and runners of the service, for the orders of runners.
//!
//! Load pattern: requests last from tens of milliseconds to seconds, so that one look
//! at a report would see chance. The shares are sampled at each tick and averaged over
//! the time between two reports. Nothing is sampled before the first report is asked for.

use super::{Arbiter, Effect, Note, Refusal};
use crate::autoscale::{Demand, Fleet};

/// Sums of the samples since the last report.
#[derive(Debug, Default)]
pub(super) struct Sampler {
    samples: u32,
    prefill: f64,
    held: f64,
    memory: f64,
    waiting: Vec<f64>,
    granted: u32,
    refused: u32,
}

impl Sampler {
    /// Counts grants, and refusals for want of capacity.
    pub(super) fn on_effects(&mut self, effects: &[Effect]) {
        for effect in effects {
            match effect {
                Effect::Note(Note::Granted { .. }) => self.granted += 1,
                Effect::Note(Note::Refused { refusal, .. }) if is_for_capacity(refusal) => {
                    self.refused += 1;
                }
                _ => {}
            }
        }
    }

    fn mean(&self, sum: f64) -> f64 {
        sum / f64::from(self.samples.max(1))
    }
}

impl Arbiter {
    /// Load since the last call, and the runners; none at the first call, or while the
    /// daemons have not reported their slots yet.
    pub fn demand(&mut self) -> Option<Demand> {
        if self.collecting.is_some() {
            return None;
        }
        let sampler = self.sampler.replace(Sampler::default())?;
        if sampler.samples == 0 {
            return None;
        }
        let mut demand = Demand {
            service: self.service.clone(),
            usable: u32::try_from(self.pool.usable()).unwrap_or(u32::MAX),
            slots: self.pool.slots(),
            prefill: sampler.mean(sampler.prefill),
            held: sampler.mean(sampler.held),
            memory: sampler.mean(sampler.memory),
            granted: sampler.granted,
            refused: sampler.refused,
            urgent: self.urgent_share(),
            ..Demand::default()
        };
        let waiting = sampler.waiting.iter();
        demand.waiting = waiting.map(|sum| sampler.mean(*sum)).collect();
        for runner in self.pool.runners() {
            let fleet: &mut Fleet = demand.fleets.entry(runner.domain.clone()).or_default();
            let count = if runner.reclaimable {
                &mut fleet.reclaimable
            } else {
                &mut fleet.stable
            };
            if runner.leaving {
                count.leaving += 1;
            } else {
                count.ready += 1;
            }
        }
        Some(demand)
    }

    /// Samples the load, if reports are asked for.
    pub(super) fn sample_demand(&mut self) {
        let Some(sampler) = &mut self.sampler else {
            return;
        };
        let (mut usable, mut prefilling, mut held, mut slots) = (0, 0, 0, 0);
        let (mut used, mut memory) = (0, 0);
        for runner in self.pool.runners().filter(|it| it.is_usable()) {
            usable += 1;
            prefilling += u32::from(runner.prompts.is_prefilling());
            held += runner.held;
            slots += runner.limit();
            used += runner.prompts.used();
            memory += runner.prompts.memory();
        }
        sampler.samples += 1;
        sampler.prefill += share(prefilling.into(), usable);
        sampler.held += share(held.into(), slots.into());
        sampler.memory += share(used, memory);
        let waiting = self.queue.tier_lens();
        sampler.waiting.resize(waiting.len(), 0.0);
        for (sum, len) in sampler.waiting.iter_mut().zip(waiting) {
            *sum += f64::from(u32::try_from(len).unwrap_or(u32::MAX));
        }
    }

    /// Share of the memory of the running requests that belongs to urgent tiers: all but
    /// the lowest one that the classes have. All requests are urgent if there is one tier.
    fn urgent_share(&self) -> f64 {
        let tiers = || self.catalogue.classes.values().map(|it| it.tier);
        let lowest = tiers().max().filter(|it| tiers().min() != Some(*it));
        let (mut urgent, mut all) = (0, 0);
        for running in self.running.values() {
            // A request without a prompt counts like any other one.
            let size = running.usage.map_or(1, |it| it.size.max(1));
            all += size;
            if Some(running.class.tier) != lowest {
                urgent += size;
            }
        }
        if all == 0 {
            return 1.0;
        }
        share(urgent, all)
    }
}

/// Whether more runners would have avoided a refusal.
fn is_for_capacity(refusal: &Refusal) -> bool {
    matches!(
        refusal,
        Refusal::Shed { .. } | Refusal::NoRunner { .. } | Refusal::Late
    )
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below the mantissa's range"
)]
fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
