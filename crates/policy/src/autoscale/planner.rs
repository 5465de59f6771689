//! The planner of one service: takes demand and outcomes, and returns orders.

use std::time::{Duration, Instant};

use derive_more::Display;
use indexmap::IndexMap;

use super::{
    Demand, Order, Outcome, Settings,
    need::{Cause, Need},
    site::{Cell, Site},
    spread::{Place, spread, survivors},
    to_f64, whole,
};
use crate::{
    catalogue::Scaling,
    id::{DomainId, InstanceId, ServiceId},
};

/// Price of a runner that is not reclaimable in a domain without a price, in thousandths.
const USUAL_PRICE: u32 = 1_000;

/// Part of the start of a runner for which a higher load must last: runners for a shorter
/// burst would come when it is over.
const SUSTAIN_SHARE: f64 = 0.5;

/// Runners above the target that a domain keeps: a difference of one is more often
/// noise than a lower need, and each order that follows it is undone soon.
const SLACK: u32 = 1;

/// Why the last change of the plan was made.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash)]
pub enum Reason {
    /// Nothing was changed yet.
    #[default]
    #[display("none")]
    None,
    /// Prompts to prefill need more runners.
    #[display("prefill")]
    Prefill,
    /// Slots in use need more runners.
    #[display("slots")]
    Slots,
    /// Memory in use needs more runners.
    #[display("memory")]
    Memory,
    /// The platform takes runners back.
    #[display("taken-back")]
    TakenBack,
    /// Reclaimable runners are not available.
    #[display("unavailable")]
    Unavailable,
    /// Reclaimable runners are ready in place of stable ones.
    #[display("replaced")]
    Replaced,
    /// The need has stayed lower.
    #[display("fallen")]
    Fallen,
}

/// Orders in force, as a former holder gave them: domain, kind and number.
pub type Known = Vec<(DomainId, bool, u32)>;

/// Decides the orders of one service.
#[derive(Clone, Debug)]
pub struct Planner {
    service: ServiceId,
    scaling: Scaling,
    settings: Settings,
    sites: IndexMap<DomainId, Site>,
    need: Need,
    /// Most runners that were ready before load was seen.
    present: u32,
    first_report: Option<Instant>,
    last_report: Option<Instant>,
    /// When load was first seen.
    first_load: Option<Instant>,
    /// Whether the present gap in the reports was noted.
    silent: bool,
    /// Start of the reports without a gap.
    steady_since: Option<Instant>,
    /// Whether reclaimable runners were once ready in place of stable ones.
    replaced: bool,
    /// Most stable runners so far, for the size of steps.
    most_stable: u32,
    stable_step: Option<Instant>,
    reclaimable_step: Option<Instant>,
    reason: Reason,
}

impl Planner {
    /// A planner that knows nothing of the service yet.
    #[must_use]
    pub fn new(service: ServiceId, scaling: Scaling, settings: Settings) -> Self {
        Self {
            service,
            scaling,
            settings,
            sites: IndexMap::new(),
            need: Need::default(),
            present: 0,
            first_report: None,
            last_report: None,
            first_load: None,
            silent: false,
            steady_since: None,
            replaced: false,
            most_stable: 0,
            stable_step: None,
            reclaimable_step: None,
            reason: Reason::default(),
        }
    }

    /// Applies a changed declaration.
    pub fn set_scaling(&mut self, scaling: &Scaling) {
        if self.scaling != *scaling {
            self.scaling = scaling.clone();
        }
    }

    /// Why the plan was last changed.
    #[must_use]
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Runners that the load of the last seconds needs.
    #[must_use]
    pub fn need(&self, now: Instant) -> f64 {
        let present = to_f64(self.present);
        let least = match self.first_load {
            None => present,
            Some(at) if since(now, at) < self.settings.cautious => {
                present * self.settings.cautious_share
            }
            Some(_) => 0.0,
        };
        self.need.runners().max(least)
    }

    /// Runners of each domain and kind: wanted, and ready.
    pub fn runners(&self) -> impl Iterator<Item = (&DomainId, bool, u32, u32)> {
        self.sites.iter().flat_map(|(domain, site)| {
            [(false, site.stable), (true, site.reclaimable)]
                .map(|(reclaimable, cell)| (domain, reclaimable, cell.desired, cell.count.ready))
        })
    }

    /// Orders in force, the largest of each kind that may be.
    #[must_use]
    pub fn known(&self) -> Known {
        let known = self.sites.iter().flat_map(|(domain, site)| {
            [(false, site.stable), (true, site.reclaimable)]
                .map(|(reclaimable, cell)| (domain.clone(), reclaimable, cell.in_force()))
        });
        known.collect()
    }

    /// Takes a report, with the orders in force as far as its sender knows them.
    pub fn on_demand(&mut self, now: Instant, from: &InstanceId, demand: &Demand, known: &Known) {
        let has_gap = self
            .last_report
            .is_none_or(|at| since(now, at) > self.settings.silence);
        if has_gap {
            self.steady_since = Some(now);
        }
        self.last_report = Some(now);
        self.silent = false;
        let sustain = self.scaling.boot.mul_f64(SUSTAIN_SHARE);
        self.need
            .on_demand(now, from, demand, &self.settings, sustain);
        // A list that was not read yet names no runner either.
        let is_listed = demand.ready() > 0 || self.has_reports(now);
        // The list may be read in part at first; later, ordered runners come to those present.
        let is_early = |at: Instant| since(now, at) < self.scaling.boot;
        if self.first_load.is_none() && self.first_report.is_none_or(is_early) {
            self.present = self.present.max(demand.ready());
        }
        if demand.granted > 0 || demand.held > 0.0 {
            self.first_load.get_or_insert(now);
        }
        let is_first = self.first_report.is_none() && is_listed;
        if is_first {
            self.first_report = Some(now);
        }
        for domain in self.scaling.prices.keys().chain(demand.fleets.keys()) {
            self.sites.entry(domain.clone()).or_default();
        }
        for (domain, site) in &mut self.sites {
            let fleet = demand.fleets.get(domain).copied().unwrap_or_default();
            site.stable.on_count(now, fleet.stable);
            site.reclaimable.on_count(now, fleet.reclaimable);
        }
        if is_first {
            for (domain, reclaimable, number) in known {
                if let Some(site) = self.sites.get_mut(domain) {
                    site.cell(*reclaimable).adopt_order(now, *number);
                }
            }
        }
        self.adopt_present(now);
    }

    /// Takes the runners that a former holder ordered as wanted: they become ready
    /// after the first report.
    fn adopt_present(&mut self, now: Instant) {
        let is_new = self
            .first_report
            .is_none_or(|at| since(now, at) < self.settings.hold);
        for site in self.sites.values_mut() {
            for cell in [&mut site.stable, &mut site.reclaimable] {
                if cell.is_exceeded(is_new) {
                    cell.adopt(now, cell.count.ready);
                }
            }
        }
        let stable = self.sites.values().map(|it| it.stable.desired).sum();
        self.most_stable = self.most_stable.max(stable);
    }

    /// Whether reports have come for the hold time without a gap.
    fn has_reports(&self, now: Instant) -> bool {
        let long = |at: Instant| since(now, at) >= self.settings.hold;
        self.steady_since.is_some_and(long)
    }

    /// Whether reports have come long enough to order runners down.
    fn is_steady(&self, now: Instant) -> bool {
        let long = |at: Instant| since(now, at) >= self.settings.hold;
        self.first_report.is_some_and(long) && self.has_reports(now)
    }

    /// Whether reports are missing that came before; true once for each gap.
    pub fn becomes_silent(&mut self, now: Instant) -> bool {
        let is_silent = self
            .last_report
            .is_some_and(|at| since(now, at) > self.settings.silence);
        is_silent && !std::mem::replace(&mut self.silent, true)
    }

    /// Decides what is wanted now; returns at most `most` orders to send.
    ///
    /// Each order is returned once until its outcome is known; [`Planner::send`] tells
    /// the number that is wanted when it is written.
    pub fn plan(&mut self, now: Instant, most: usize) -> Vec<Order> {
        let is_current = self
            .last_report
            .is_some_and(|at| since(now, at) <= self.settings.silence);
        if is_current && self.first_report.is_some() {
            let is_taken_back = self.drop_missing(now);
            self.decide(now, is_taken_back);
        }
        let mut due = Vec::new();
        for (domain, site) in &mut self.sites {
            for reclaimable in [true, false] {
                let cell = site.cell(reclaimable);
                if due.len() < most && cell.is_due(now) {
                    due.push(Order {
                        service: self.service.clone(),
                        domain: domain.clone(),
                        reclaimable,
                        desired: cell.send(),
                    });
                }
            }
        }
        due
    }

    /// Updates an order to the number wanted now, right before it is written.
    pub fn send(&mut self, order: &mut Order) {
        if let Some(site) = self.sites.get_mut(&order.domain) {
            order.desired = site.cell(order.reclaimable).send();
        }
    }

    /// Records the outcome of an order.
    pub fn on_outcome(&mut self, now: Instant, order: &Order, outcome: Outcome) {
        if let Some(site) = self.sites.get_mut(&order.domain) {
            let cell = site.cell(order.reclaimable);
            cell.on_outcome(now, order.desired, outcome, self.settings.exclusion);
        }
    }

    /// Gives up runners that were taken back, or that were ordered and did not come;
    /// returns whether some were taken back.
    fn drop_missing(&mut self, now: Instant) -> bool {
        let allowed = self.scaling.boot + self.settings.overdue;
        let until = now + self.settings.exclusion;
        let mut is_taken_back = false;
        for site in self.sites.values_mut() {
            let cell = &mut site.reclaimable;
            if cell.is_leaving() {
                cell.exclude(until);
                if cell.count.ready < cell.accepted.min(cell.desired) {
                    cell.give_up(now, now + self.scaling.boot);
                    is_taken_back = true;
                }
            }
            for (reclaimable, cell) in [(false, &mut site.stable), (true, &mut site.reclaimable)] {
                if cell.is_overdue(now, allowed) {
                    cell.adopt(now, cell.count.ready);
                    if reclaimable {
                        cell.exclude(until);
                    }
                }
            }
        }
        is_taken_back
    }

    fn decide(&mut self, now: Instant, is_taken_back: bool) {
        let need = self.need(now);
        let targets = self.reclaimable_targets(now, need);
        let before = self.wanted(true);
        for (site, target) in self.sites.values_mut().zip(&targets) {
            site.reclaimable.desired = site.reclaimable.desired.max(*target);
        }
        if is_taken_back {
            self.reason = Reason::TakenBack;
        } else if self.wanted(true) > before {
            self.reason = match self.need.cause {
                Some(Cause::Slots) => Reason::Slots,
                Some(Cause::Memory) => Reason::Memory,
                Some(Cause::Prefill) | None => Reason::Prefill,
            };
        }
        self.add_stable(now, need);
        if !self.is_steady(now) {
            return;
        }
        let all_ready = self.sites.values().zip(&targets).all(|(site, target)| {
            let cell = &site.reclaimable;
            cell.is_excluded(now) || cell.count.ready >= *target
        });
        self.replaced |= all_ready || self.is_carried(need);
        if self.replaced {
            self.drop_stable(now, need);
        }
        if all_ready {
            self.drop_reclaimable(now, &targets);
        }
    }

    /// Whether the reclaimable runners that are ready, without the domain that has the
    /// most, carry the need beyond the stable ones that are kept.
    fn is_carried(&self, need: f64) -> bool {
        survivors(&self.ready_reclaimable()) + self.kept() >= whole(need)
    }

    /// Reclaimable runners of each domain that are ready and wanted.
    fn ready_reclaimable(&self) -> Vec<u32> {
        let cells = self.sites.values().map(|it| it.reclaimable);
        cells.map(|it| it.count.ready.min(it.desired)).collect()
    }

    /// Stable runners that are never ordered down.
    fn kept(&self) -> u32 {
        self.sites.values().map(|it| self.least_stable(it)).sum()
    }

    /// Reclaimable runners that each domain is to have.
    fn reclaimable_targets(&self, now: Instant, need: f64) -> Vec<u32> {
        let places: Vec<Place> = self
            .sites
            .iter()
            .map(|(domain, site)| self.place(now, domain, site))
            .collect();
        spread(whole(need).saturating_sub(self.kept()), &places)
    }

    fn place(&self, now: Instant, domain: &DomainId, site: &Site) -> Place {
        let room = self.scaling.max.saturating_sub(site.stable.most());
        let most = if !self.uses_reclaimable() {
            0
        } else if site.reclaimable.is_excluded(now) {
            room.min(site.reclaimable.accepted)
        } else {
            room
        };
        Place {
            // So that a domain whose runners were taken back differs from one without any.
            least: self.scaling.min,
            most,
            price: self.price(domain),
        }
    }

    /// Stable runners of a domain that are never ordered down.
    fn least_stable(&self, site: &Site) -> u32 {
        site.stable.desired.min(self.scaling.min)
    }

    /// Whether there are reclaimable runners, and they cost less.
    fn uses_reclaimable(&self) -> bool {
        let price = self.scaling.reclaimable_price;
        price.is_some_and(|it| it < USUAL_PRICE)
    }

    fn price(&self, domain: &DomainId) -> u32 {
        let prices = &self.scaling.prices;
        prices.get(domain).copied().unwrap_or(USUAL_PRICE)
    }

    fn wanted(&self, reclaimable: bool) -> u32 {
        let cell = |it: &Site| {
            if reclaimable {
                it.reclaimable
            } else {
                it.stable
            }
        };
        self.sites.values().map(|it| cell(it).desired).sum()
    }

    /// Adds stable runners where reclaimable ones cannot carry the urgent tiers, or a
    /// domain has less than its minimum.
    fn add_stable(&mut self, now: Instant, need: f64) {
        let (min, max) = (self.scaling.min, self.scaling.max);
        let mut missing = 0;
        for site in self.sites.values_mut() {
            let lacks = min.saturating_sub(site.stable.desired + site.reclaimable.desired);
            if !site.stable.is_excluded(now) {
                site.stable.desired += lacks;
                missing += lacks;
            }
        }
        let urgent = if self.uses_reclaimable() {
            self.need.urgent()
        } else {
            1.0
        };
        let reclaimable: Vec<u32> = self
            .sites
            .values()
            .map(|it| it.reclaimable.desired)
            .collect();
        let carried = survivors(&reclaimable) + self.wanted(false);
        let mut short = whole(need * urgent).saturating_sub(carried);
        missing += short;
        let prices = &self.scaling.prices;
        let price = |domain: &DomainId| prices.get(domain).copied().unwrap_or(USUAL_PRICE);
        let mut open: Vec<(&DomainId, &mut Site)> = self.sites.iter_mut().collect();
        open.sort_by_key(|(domain, _)| price(domain));
        for (_, site) in open {
            if short == 0 {
                break;
            }
            let taken = site.stable.desired + site.reclaimable.most();
            let room = max.saturating_sub(taken);
            if !site.stable.is_excluded(now) {
                let added = room.min(short);
                site.stable.desired += added;
                short -= added;
            }
        }
        if missing > short {
            self.reason = Reason::Unavailable;
        }
    }

    /// Drops stable runners that reclaimable ones have replaced.
    fn drop_stable(&mut self, now: Instant, need: f64) {
        if !self.may_step(now, self.stable_step) {
            return;
        }
        let ready = self.ready_reclaimable();
        let urgent = whole(need * self.need.urgent()).saturating_sub(survivors(&ready));
        let all = whole(need).saturating_sub(ready.iter().sum());
        let keep = all.max(urgent).max(self.kept());
        let step = whole(to_f64(self.most_stable) * self.settings.step_share);
        let drop = self.wanted(false).saturating_sub(keep).min(step);
        for _ in 0..drop {
            let open = self.sites.iter().enumerate();
            let open = open.filter(|(_, (_, it))| it.stable.desired > self.least_stable(it));
            let rank = |(_, (domain, it)): &(usize, (&DomainId, &Site))| {
                (it.stable.desired, self.price(domain))
            };
            let Some((place, _)) = open.max_by_key(rank) else {
                break;
            };
            self.sites[place].stable.desired -= 1;
        }
        if drop > 0 {
            self.stable_step = Some(now);
            self.reason = Reason::Replaced;
        }
    }

    /// Drops reclaimable runners by a step towards the targets.
    fn drop_reclaimable(&mut self, now: Instant, targets: &[u32]) {
        if !self.may_step(now, self.reclaimable_step) {
            return;
        }
        let mut is_changed = false;
        for (site, target) in self.sites.values_mut().zip(targets) {
            let cell: &mut Cell = &mut site.reclaimable;
            let above = cell.desired.saturating_sub(*target);
            if above > SLACK {
                cell.desired -= whole(to_f64(above) * self.settings.step_share);
                is_changed = true;
            }
        }
        if is_changed {
            self.reclaimable_step = Some(now);
            self.reason = Reason::Fallen;
        }
    }

    fn may_step(&self, now: Instant, last: Option<Instant>) -> bool {
        last.is_none_or(|at| since(now, at) >= self.settings.step_interval)
    }
}

fn since(now: Instant, at: Instant) -> Duration {
    now.saturating_duration_since(at)
}
