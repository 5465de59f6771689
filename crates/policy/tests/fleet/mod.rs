//! A small model of ordered runners: they take time to start, and may be taken back.
//!
//! The load is a number of runners that it keeps busy. Urgent work is served first; what
//! exceeds the capacity is lost and reported as refused.

use std::{
    ops::Range,
    time::{Duration, Instant},
};

use citron_policy::{
    autoscale::{Demand, Known, Outcome, Planner, Settings},
    catalogue::Scaling,
};

pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Price of a runner second in each domain.
const PRICES: [f64; 3] = [1.0, 0.8, 1.25];

const RECLAIMABLE_PRICE: f64 = 0.15;
const BOOT: f64 = 4.0;
const STEP: f64 = 0.1;

/// Time for which a runner that was ordered down or taken back is listed as leaving.
const LEAVING: f64 = 2.0;

/// Share of the load that is urgent.
const URGENT: f64 = 0.5;

pub fn seconds(it: f64) -> Duration {
    Duration::from_secs_f64(it)
}

pub fn scaling() -> Scaling {
    let prices = DOMAINS.map(str::to_owned).into_iter();
    Scaling {
        min: 1,
        max: 40,
        boot: seconds(BOOT),
        reclaimable_price: Some(150),
        prices: prices.zip([1_000, 800, 1_250]).collect(),
    }
}

#[derive(Clone, Copy, Debug)]
struct Runner {
    domain: usize,
    reclaimable: bool,
    ready_at: f64,
    leaves_at: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
pub struct Placed {
    pub at: f64,
    pub domain: usize,
    pub reclaimable: bool,
    pub desired: u32,
    /// Number in force before.
    pub before: u32,
}

#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub at: f64,
    /// Runners that are ready, by domain.
    pub ready: [u32; 3],
    /// Stable runners in force.
    pub stable: u32,
    wanted: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Run {
    pub orders: Vec<Placed>,
    pub samples: Vec<Sample>,
    /// Share of the urgent work that was lost.
    pub urgent_lost: f64,
    pub cost: f64,
}

impl Run {
    pub fn at(&self, at: f64) -> Sample {
        let found = self.samples.iter().find(|it| it.at >= at);
        *found.expect("a sample of that time")
    }

    /// Largest number wanted in a span.
    pub fn wanted_between(&self, from: f64, to: f64) -> u32 {
        let span = self.samples.iter().filter(|it| it.at >= from && it.at < to);
        span.map(|it| it.wanted).max().expect("a sample")
    }

    /// Times and numbers of the orders of a domain.
    pub fn orders_of(&self, domain: usize, reclaimable: bool) -> Vec<(f64, u32)> {
        let of_cell = |it: &&Placed| it.domain == domain && it.reclaimable == reclaimable;
        let orders = self.orders.iter().filter(of_cell);
        orders.map(|it| (it.at, it.desired)).collect()
    }
}

/// What happens in a replay; domains are given by their index.
#[derive(Clone, Debug)]
pub struct Replay {
    pub seconds: u32,
    /// Runners that the load keeps busy at a time.
    pub load: fn(f64) -> f64,
    /// Stable runners in each domain at the start.
    pub stable: u32,
    pub scaling: Scaling,
    /// Domains that refuse reclaimable runners.
    pub refused: Vec<(usize, Range<f64>)>,
    /// Domains whose reclaimable runners are taken back, at the start of the refusal.
    pub taken_back: Vec<usize>,
    pub down: Range<f64>,
    pub silent: Range<f64>,
    /// Times at which the platform takes orders, but its answers are lost.
    pub unanswered: Vec<Range<f64>>,
    /// When another daemon comes to hold the duties, and whether it is told the orders.
    pub new_holders: Vec<(f64, bool)>,
}

impl Default for Replay {
    fn default() -> Self {
        Self {
            seconds: 75,
            load: |_| 20.0,
            stable: 20,
            scaling: scaling(),
            refused: Vec::new(),
            taken_back: Vec::new(),
            down: 0.0..0.0,
            silent: 0.0..0.0,
            unanswered: Vec::new(),
            new_holders: Vec::new(),
        }
    }
}

impl Replay {
    pub fn fixed(&self) -> Run {
        self.play(false)
    }

    pub fn run(&self) -> Run {
        self.play(true)
    }

    fn play(&self, scaled: bool) -> Run {
        let origin = Instant::now();
        let new = || Planner::new("chat".to_owned(), self.scaling.clone(), Settings::default());
        let mut planner = new();
        let mut model = Model::new(self.stable);
        let mut run = Run::default();
        let (mut urgent, mut lost) = (0.0, 0.0);
        let mut refused = 0.0;
        let mut known = Known::new();
        for tick in 0..self.seconds * 10 {
            let at = f64::from(tick) * STEP;
            let now = origin + seconds(at);
            for (domain, during) in &self.refused {
                if (during.start - at).abs() < 0.01 && self.taken_back.contains(domain) {
                    model.take_back(at, *domain);
                }
            }
            model
                .runners
                .retain(|it| it.leaves_at.is_none_or(|leaves| at < leaves));
            let load = (self.load)(at);
            let usable = f64::from(model.ready(at));
            urgent += load * URGENT;
            lost += (load * URGENT - usable).max(0.0);
            refused += (load - usable).max(0.0);
            run.cost += model.cost() * STEP;
            let mut holders = self.new_holders.iter();
            if let Some((_, knows)) = holders.find(|it| (it.0 - at).abs() < 0.01) {
                known = if *knows {
                    planner.known()
                } else {
                    Known::new()
                };
                planner = new();
            }
            if scaled && tick % 5 == 0 && !self.silent.contains(&at) {
                let demand = model.demand(at, load, std::mem::take(&mut refused));
                planner.on_demand(now, &"host".to_owned(), &demand, &known);
            }
            if scaled && tick % 2 == 0 {
                for order in planner.plan(now, usize::MAX) {
                    let place = DOMAINS.iter().position(|it| *it == order.domain);
                    let domain = place.expect("a domain");
                    let is_refused = order.reclaimable
                        && self
                            .refused
                            .iter()
                            .any(|it| it.0 == domain && it.1.contains(&at));
                    let before = model.desired[domain][usize::from(order.reclaimable)];
                    let outcome = if self.down.contains(&at) {
                        Outcome::Failed
                    } else if is_refused && order.desired > before {
                        Outcome::Unavailable
                    } else {
                        model.order(at, domain, order.reclaimable, order.desired, &self.scaling);
                        if self.unanswered.iter().any(|it| it.contains(&at)) {
                            Outcome::Failed
                        } else {
                            Outcome::Accepted
                        }
                    };
                    run.orders.push(Placed {
                        at,
                        domain,
                        reclaimable: order.reclaimable,
                        desired: order.desired,
                        before,
                    });
                    planner.on_outcome(now, &order, outcome);
                }
            }
            run.samples.push(Sample {
                at,
                ready: [0, 1, 2].map(|it| model.ready_in(at, it)),
                stable: model.desired.iter().map(|it| it[0]).sum(),
                wanted: planner.runners().map(|it| it.2).sum(),
            });
        }
        run.urgent_lost = lost / urgent;
        run
    }
}

struct Model {
    runners: Vec<Runner>,
    /// Numbers in force, by domain and kind.
    desired: [[u32; 2]; 3],
}

impl Model {
    fn new(stable: u32) -> Self {
        let mut model = Self {
            runners: Vec::new(),
            desired: [[stable, 0]; 3],
        };
        for domain in 0..3 {
            model.add(stable, domain, false, 0.0);
        }
        model
    }

    fn add(&mut self, count: u32, domain: usize, reclaimable: bool, ready_at: f64) {
        let leaves_at = None;
        let runner = Runner {
            domain,
            reclaimable,
            ready_at,
            leaves_at,
        };
        self.runners.extend((0..count).map(|_| runner));
    }

    fn staying(&self, domain: usize, reclaimable: bool) -> impl Iterator<Item = &Runner> {
        let of_cell = move |it: &&Runner| it.domain == domain && it.reclaimable == reclaimable;
        self.runners
            .iter()
            .filter(of_cell)
            .filter(|it| it.leaves_at.is_none())
    }

    fn order(
        &mut self,
        at: f64,
        domain: usize,
        reclaimable: bool,
        desired: u32,
        scaling: &Scaling,
    ) {
        self.desired[domain][usize::from(reclaimable)] = desired;
        let both: u32 = self.desired[domain].iter().sum();
        assert!(
            (scaling.min..=scaling.max).contains(&both),
            "{both} runners in {domain}"
        );
        let present = self.staying(domain, reclaimable).count();
        let present = u32::try_from(present).expect("few runners");
        self.add(
            desired.saturating_sub(present),
            domain,
            reclaimable,
            at + BOOT,
        );
        let mut excess = present.saturating_sub(desired);
        for runner in self.runners.iter_mut().rev() {
            let of_cell = runner.domain == domain && runner.reclaimable == reclaimable;
            if excess > 0 && of_cell && runner.leaves_at.is_none() {
                runner.leaves_at = Some(at + LEAVING);
                excess -= 1;
            }
        }
    }

    /// The reclaimable runners of a domain that are ready leave; those that start do not.
    fn take_back(&mut self, at: f64, domain: usize) {
        let of_domain = |it: &&mut Runner| it.domain == domain && it.reclaimable;
        let mut starting = 0;
        for runner in self.runners.iter_mut().filter(of_domain) {
            if runner.ready_at <= at {
                runner.leaves_at = Some(at + LEAVING);
            } else {
                starting += 1;
            }
        }
        self.desired[domain][1] = starting;
    }

    fn ready_in(&self, at: f64, domain: usize) -> u32 {
        let kinds = [false, true].into_iter();
        let ready = kinds.flat_map(|kind| self.staying(domain, kind));
        u32::try_from(ready.filter(|it| it.ready_at <= at).count()).expect("few runners")
    }

    fn ready(&self, at: f64) -> u32 {
        (0..3).map(|it| self.ready_in(at, it)).sum()
    }

    /// Cost of a second; runners are billed from their order until they are gone.
    fn cost(&self) -> f64 {
        let kind = |it: &Runner| {
            if it.reclaimable {
                RECLAIMABLE_PRICE
            } else {
                1.0
            }
        };
        self.runners
            .iter()
            .map(|it| PRICES[it.domain] * kind(it))
            .sum()
    }

    fn demand(&self, at: f64, load: f64, refused: f64) -> Demand {
        let usable = self.ready(at);
        let busy = (load / f64::from(usable.max(1))).min(1.0);
        let mut demand = Demand {
            service: "chat".to_owned(),
            usable,
            slots: usable * 64,
            prefill: busy,
            held: busy * 0.5,
            memory: busy * 0.3,
            granted: 100,
            refused: u32::from(refused > 0.0) * 30,
            urgent: URGENT,
            ..Demand::default()
        };
        for runner in &self.runners {
            let fleet = demand.fleets.entry(DOMAINS[runner.domain].to_owned());
            let fleet = fleet.or_default();
            let count = if runner.reclaimable {
                &mut fleet.reclaimable
            } else {
                &mut fleet.stable
            };
            if runner.leaves_at.is_some() {
                count.leaving += 1;
            } else if runner.ready_at <= at {
                count.ready += 1;
            }
        }
        demand
    }
}
