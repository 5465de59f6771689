//! Callers spread over daemons of different power, one of them slowed.

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr, time::Duration};

use citron_policy::{
    discovery::{Caller, delayed_load, list},
    member::{Member, Members, State},
};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

/// Power of the weakest daemons, in thousandths of a core; others have two and three times that.
const POWER: u32 = 90;

/// Daemons of each power. The last of the strongest is slowed.
const DAEMONS_EACH: u32 = 6;
const SLOWED: usize = 3 * DAEMONS_EACH as usize - 1;
const SLOWDOWN: f64 = 5.0;

/// CPU time of a request, and time over which a daemon's share of the CPU is accounted.
const WORK: f64 = 0.002;
const PERIOD: f64 = 0.1;

/// Mean time that a request spends at its runner.
const RUNNER_TIME: f64 = 0.15;

/// Interval at which the daemons' loads are gossiped.
const GOSSIP: f64 = 0.5;

/// Length of a run and its part that is not measured, in seconds.
const LENGTH: f64 = 60.0;
const WARM_UP: f64 = 10.0;

/// A daemon that runs at full speed until its share of the CPU is used up.
#[derive(Clone, Debug)]
struct Daemon {
    share: f64,
    credit: f64,
    /// When it is done with the requests so far.
    free_at: f64,
    in_progress: u32,
    /// Mean delay of its last hundred requests.
    delay: f64,
    added: Vec<f64>,
}

impl Daemon {
    /// Takes a request; returns when it has done its work.
    fn serve(&mut self, now: f64) -> f64 {
        let start = self.free_at.max(now);
        self.credit = (self.credit + (start - self.free_at) * self.share).min(self.share * PERIOD);
        let wait = ((WORK - self.credit) / self.share).max(0.0);
        self.credit += wait * self.share - WORK;
        self.free_at = start + wait + WORK;
        self.credit += WORK * self.share;
        self.delay += 0.01 * ((self.free_at - now - WORK).max(0.0) - self.delay);
        self.free_at
    }

    /// The load that it reports.
    fn load(&self, by_capacity: bool) -> u32 {
        if by_capacity {
            delayed_load(self.in_progress, Duration::from_secs_f64(self.delay))
        } else {
            self.in_progress
        }
    }
}

fn member(number: usize, load: u32) -> Member {
    let power = u32::try_from(number).expect("few") / DAEMONS_EACH + 1;
    Member {
        id: format!("i-{number:03}"),
        domain: "d".to_owned(),
        peer: SocketAddr::from(([10, 0, 0, 1], 1)),
        callers: SocketAddr::from(([10, 0, 0, 1], 1)),
        capacity: POWER * power,
        replica: None,
        incarnation: 1,
        state: State::Alive,
        revision: 1,
        load,
        current: true,
    }
}

/// Serves requests at that share of the daemons' capacity.
fn run(by_capacity: bool, utilisation: f64, seed: u64) -> Vec<Daemon> {
    let mut random = StdRng::seed_from_u64(seed);
    let share = |number| f64::from(member(number, 0).capacity) / 1_000.0;
    let mut daemons: Vec<Daemon> = (0..=SLOWED)
        .map(|number| Daemon {
            share: share(number) / if number == SLOWED { SLOWDOWN } else { 1.0 },
            credit: 0.0,
            free_at: 0.0,
            in_progress: 0,
            delay: 0.0,
            added: Vec::new(),
        })
        .collect();
    let rate = utilisation * daemons.iter().map(|it| it.share).sum::<f64>() / WORK;
    let mut members = Members::new();
    let mut gossiped = -GOSSIP;
    let mut ends: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut now = 0.0;
    while now < LENGTH {
        now -= random.random_range(f64::EPSILON..1.0).ln() / rate;
        while let Some(Reverse((end, daemon))) = ends.peek().copied() {
            if end.as_secs_f64() > now {
                break;
            }
            ends.pop();
            daemons[daemon].in_progress -= 1;
        }
        if now >= gossiped + GOSSIP {
            gossiped = now;
            let all = daemons.iter().enumerate();
            members = all
                .map(|(number, it)| member(number, it.load(by_capacity)))
                .map(|it| (it.id.clone(), it))
                .collect();
        }
        let caller = Caller {
            domain: None,
            seed: random.random(),
            by_capacity,
        };
        let first = list(&members, true, &caller)
            .expect("a list")
            .choices
            .remove(0);
        let daemon = members.get_index_of(&first.id).expect("a daemon");
        let done = daemons[daemon].serve(now);
        let runner = -RUNNER_TIME * random.random_range(f64::EPSILON..1.0).ln();
        daemons[daemon].in_progress += 1;
        ends.push(Reverse((Duration::from_secs_f64(done + runner), daemon)));
        if now >= WARM_UP {
            daemons[daemon].added.push(done - now);
        }
    }
    daemons
}

fn p99_ms(daemons: &[Daemon], numbers: std::ops::Range<usize>) -> f64 {
    let mut added: Vec<f64> = daemons[numbers]
        .iter()
        .flat_map(|it| it.added.iter().copied())
        .collect();
    added.sort_by(f64::total_cmp);
    added[added.len() * 99 / 100] * 1_000.0
}

/// With as many callers at each daemon, the weak ones used up their share of the CPU, and their
/// callers waited until they had more.
#[gtest]
fn callers_of_weak_daemons_wait_no_longer_than_those_of_strong_ones() {
    let each = DAEMONS_EACH as usize;
    let mut slowed = (0.0, 0.0);
    for (utilisation, seed) in [0.15, 0.3, 0.45]
        .into_iter()
        .flat_map(|it| [(it, 1), (it, 2)])
    {
        let p99 = |by_capacity| {
            let daemons = run(by_capacity, utilisation, seed);
            let weak = p99_ms(&daemons, 0..each);
            let strong = p99_ms(&daemons, 2 * each..SLOWED);
            (weak, strong, p99_ms(&daemons, SLOWED..SLOWED + 1))
        };
        let (before, now) = (p99(false), p99(true));
        let case = format!(
            "utilisation {utilisation}, seed {seed}: weakest, strongest and slowed {now:.1?} ms, \
             before {before:.1?} ms"
        );
        println!("{case}");
        expect_that!(now.0, le(1.5 * now.1), "{case}");
        slowed = (slowed.0 + now.2, slowed.1 + before.2);
    }
    // By its declared capacity alone, the slowed daemon was worse off than before.
    expect_that!(slowed.0, le(0.6 * slowed.1));
}

/// Deployments with daemons of different power that do not share their machines keep the order
/// by load alone, and so do those where the power is equal or not declared.
#[gtest]
fn the_order_is_by_load_alone_where_power_is_equal_unknown_or_not_shared() {
    let order = |power: [u32; 3], by_capacity, seed| {
        let numbers = [0, 1, 2].into_iter().zip(power);
        let members: Members = numbers
            .map(|(number, capacity)| Member {
                capacity,
                ..member(number, 10 * u32::try_from(number).expect("few"))
            })
            .map(|it| (it.id.clone(), it))
            .collect();
        let caller = Caller {
            domain: Some("d"),
            seed,
            by_capacity,
        };
        list(&members, true, &caller).expect("a list")
    };
    let mut differ = 0;
    for seed in 0..200 {
        let plain = order([0, 0, 0], false, seed);
        expect_that!(order([90, 180, 270], false, seed), eq(&plain));
        expect_that!(order([200, 200, 200], true, seed), eq(&plain));
        expect_that!(order([0, 180, 270], true, seed), eq(&plain));
        differ += u32::from(order([90, 180, 270], true, seed) != plain);
    }
    expect_that!(differ, gt(20));
}
