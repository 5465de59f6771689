//! Holders of the lease under faults, as the platform sees their calls.
//!
//! A register applies the steps of several candidates in one order. Proposals and
//! answers are delayed, lost and doubled, local views lag, and machines are suspended
//! (also between the check and the write of a call), cut off from the register or the
//! platform, restarted and wiped. The checks are those that the platform makes.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use citron_policy::{
    id::{FencingToken, Index, ReplicaId},
    lease::{Candidate, Record, Settings, Step},
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Number of simulated runs.
const SEEDS: u64 = 300;

/// Number of machines with a candidate.
const MACHINES: usize = 5;

/// Time between two looks of a candidate at the lease, in ms.
const TICK: u64 = 100;

/// Mean time between two attempts of a machine to call the platform, in ms.
const CALL_INTERVAL: u64 = 60;

/// Longest call, in ms; it is reset then.
const CALL: u64 = 700;

/// Time after which a proposal counts as not answered, in ms.
const ANSWER_TIMEOUT: u64 = 900;

/// Calls that arrive this soon after their sender resumed do not count, in ms.
const THAW: u64 = 300;

/// End of the faults, in ms.
const FAULTS_END: u64 = 60_000;

/// Time until messages sent during the faults have arrived, in ms.
const DRAIN: u64 = 5_000;

/// Length of a run, in ms.
const END: u64 = 100_000;

type Millis = u64;
type Machine = usize;

/// One thing that happens.
#[derive(Clone, Debug)]
enum Event {
    /// A candidate looks at its local view and may propose.
    Tick(Machine),
    /// A machine may call the platform.
    Call(Machine),
    /// A call ends at the platform, or is reset.
    CallEnd {
        from: Machine,
        life: u64,
        token: FencingToken,
        written: Millis,
    },
    /// A proposal reaches the register.
    Proposal {
        from: Machine,
        life: u64,
        at: Millis,
        step: Step,
    },
    /// An answer reaches the proposer.
    Answer {
        to: Machine,
        life: u64,
        at: Millis,
        step: Step,
        record: Option<Record>,
    },
    /// The proposer stops waiting for an answer.
    NoAnswer { to: Machine, life: u64, at: Millis },
    /// A fault of one machine.
    Fault(Machine),
}

#[derive(Debug)]
struct Scheduled {
    at: Millis,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// One machine with its candidate.
#[derive(Debug)]
struct Host {
    candidate: Candidate,
    replica: ReplicaId,
    /// Number of the process on this machine.
    life: u64,
    suspended_until: Millis,
    register_cut_until: Millis,
    /// End of a cut of the path from the register only.
    answers_cut_until: Millis,
    platform_cut_until: Millis,
    /// Lag of the local view.
    lag: Millis,
}

impl Host {
    /// Whether a call that arrives now does not count.
    fn is_excused(&self, now: Millis) -> bool {
        [self.suspended_until, self.platform_cut_until]
            .iter()
            .any(|end| *end > 0 && now >= *end && now <= end + THAW)
    }
}

/// Calls of one machine without a call of another between them.
#[derive(Debug)]
struct Run {
    machine: Machine,
    last: Millis,
}

/// What the platform has seen.
#[derive(Debug, Default)]
struct Platform {
    highest: FencingToken,
    owners: BTreeMap<FencingToken, Machine>,
    runs: Vec<Run>,
    calls: usize,
    faults: Vec<String>,
}

impl Platform {
    fn on_call(&mut self, now: Millis, from: Machine, token: FencingToken, excused: bool) {
        self.calls += 1;
        let owner = *self.owners.entry(token).or_insert(from);
        if owner != from {
            let fault = format!("{now}: token {token} of machine {owner} comes from {from}");
            self.faults.push(fault);
        }
        if excused {
            return;
        }
        if token < self.highest {
            let fault = format!("{now}: token {token} of {from} after {}", self.highest);
            self.faults.push(fault);
        }
        self.highest = self.highest.max(token);
        if self.runs.last().is_none_or(|it| it.machine != from) {
            let before = self.runs.iter().rev().find(|it| it.machine == from);
            let term = millis(Settings::default().term);
            if let Some(before) = before
                && now - before.last < term
            {
                let fault = format!("{now}: {from} acts again, last at {}", before.last);
                self.faults.push(fault);
            }
            self.runs.push(Run {
                machine: from,
                last: now,
            });
        }
        if let Some(run) = self.runs.last_mut() {
            run.last = now;
        }
    }
}

#[derive(Debug)]
struct World {
    random: StdRng,
    start: Instant,
    now: Millis,
    queue: BinaryHeap<Scheduled>,
    scheduled: u64,
    hosts: Vec<Host>,
    next_replica: ReplicaId,
    /// Record after each step, with the time at which it was applied.
    history: Vec<(Millis, Option<Record>)>,
    index: Index,
    /// Latest time at which a renewal that had an effect was proposed, by token.
    renewed: BTreeMap<FencingToken, Millis>,
    platform: Platform,
    /// Holder at each tick after the faults.
    calm: Vec<(Millis, Vec<Machine>)>,
}

fn millis(it: Duration) -> Millis {
    u64::try_from(it.as_millis()).expect("a short duration")
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            queue: BinaryHeap::new(),
            scheduled: 0,
            hosts: Vec::new(),
            next_replica: 1,
            history: vec![(0, None)],
            index: 0,
            renewed: BTreeMap::new(),
            platform: Platform::default(),
            calm: Vec::new(),
        };
        for machine in 0..MACHINES {
            let replica = world.replica();
            world.hosts.push(Host {
                candidate: candidate(replica, machine),
                replica,
                life: 0,
                suspended_until: 0,
                register_cut_until: 0,
                answers_cut_until: 0,
                platform_cut_until: 0,
                lag: 0,
            });
            let offset = world.random.random_range(0..TICK);
            world.schedule(offset, Event::Tick(machine));
            world.schedule(offset, Event::Call(machine));
            world.schedule(5_000 + offset, Event::Fault(machine));
        }
        world
    }

    fn replica(&mut self) -> ReplicaId {
        self.next_replica += 1;
        self.next_replica
    }

    fn schedule(&mut self, after: Millis, event: Event) {
        self.scheduled += 1;
        self.queue.push(Scheduled {
            at: self.now + after,
            number: self.scheduled,
            event,
        });
    }

    fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::from_millis(at)
    }

    fn has_faults(&self) -> bool {
        self.now < FAULTS_END
    }

    /// Whether something with this chance in a thousand happens, during the faults.
    fn chance(&mut self, thousandths: u32) -> bool {
        self.has_faults() && self.random.random_range(0..1_000) < thousandths
    }

    /// Delay of a message to or from the register.
    fn delay(&mut self) -> Millis {
        if self.chance(50) {
            return self.random.random_range(0..4_000);
        }
        self.random.random_range(1..40)
    }

    /// Sends a message to or from the register; it may be lost or doubled.
    fn send(&mut self, event: &Event) {
        let lost = self.chance(80);
        let copies = if self.chance(80) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.delay();
            if !lost {
                self.schedule(delay, event.clone());
            }
        }
    }

    fn run(&mut self) {
        while let Some(next) = self.queue.pop() {
            if next.at > END {
                return;
            }
            self.now = next.at;
            self.on_event(next.event);
        }
    }

    fn on_event(&mut self, event: Event) {
        let machine = match &event {
            Event::Tick(it) | Event::Call(it) => Some(*it),
            Event::Answer { to, .. } | Event::NoAnswer { to, .. } => Some(*to),
            Event::CallEnd { .. } | Event::Proposal { .. } | Event::Fault(_) => None,
        };
        if let Some(machine) = machine
            && self.hosts[machine].suspended_until > self.now
        {
            let wait = self.hosts[machine].suspended_until - self.now;
            self.schedule(wait, event);
            return;
        }
        match event {
            Event::Tick(machine) => self.tick(machine),
            Event::Call(machine) => self.call(machine),
            Event::CallEnd {
                from,
                life,
                token,
                written,
            } => self.call_end(from, life, token, written),
            Event::Proposal {
                from,
                life,
                at,
                step,
            } => self.propose(from, life, at, step),
            Event::Answer {
                to,
                life,
                at,
                step,
                record,
            } => self.answer(to, life, at, &step, record.as_ref()),
            Event::NoAnswer { to, life, at } => {
                let at = self.instant(at);
                let host = &mut self.hosts[to];
                if host.life == life {
                    host.candidate.on_no_answer(at);
                }
            }
            Event::Fault(machine) => self.fault(machine),
        }
    }

    fn tick(&mut self, machine: Machine) {
        self.schedule(TICK, Event::Tick(machine));
        let now = self.instant(self.now);
        if self.chance(20) {
            self.hosts[machine].lag = self.random.random_range(0..6_000);
        } else if !self.has_faults() || self.chance(30) {
            self.hosts[machine].lag = self.random.random_range(0..50);
        }
        let host = &mut self.hosts[machine];
        let cut = host.register_cut_until > self.now;
        if !cut && host.answers_cut_until <= self.now {
            let known_until = self.now.saturating_sub(host.lag);
            let place = self.history.partition_point(|(at, _)| *at <= known_until);
            let (_, record) = &self.history[place - 1];
            host.candidate.observe(now, record.as_ref());
        }
        let step = host.candidate.propose(now, machine);
        let life = host.life;
        if let Some(step) = step {
            let at = self.now;
            let lost = Event::NoAnswer {
                to: machine,
                life,
                at,
            };
            self.schedule(ANSWER_TIMEOUT, lost);
            if !cut {
                self.send(&Event::Proposal {
                    from: machine,
                    life,
                    at,
                    step,
                });
            }
        }
        if self.now > FAULTS_END + DRAIN {
            let holds = |host: &Host| host.candidate.fence(now, Duration::ZERO).is_some();
            let holders = (0..MACHINES).filter(|it| holds(&self.hosts[*it])).collect();
            self.calm.push((self.now, holders));
        }
    }

    fn propose(&mut self, from: Machine, life: u64, at: Millis, step: Step) {
        self.index += self.random.random_range(1..4);
        let mut record = self.history.last().and_then(|(_, it)| it.clone());
        step.apply(self.index, &mut record);
        if let Some(record) = &record
            && record.renewed == self.index
        {
            let renewed = self.renewed.entry(record.token).or_insert(at);
            *renewed = at.max(*renewed);
        }
        self.history.push((self.now, record.clone()));
        if self.hosts[from].register_cut_until <= self.now {
            self.send(&Event::Answer {
                to: from,
                life,
                at,
                step,
                record,
            });
        }
    }

    fn answer(&mut self, to: Machine, life: u64, at: Millis, step: &Step, record: Option<&Record>) {
        let (now, at) = (self.instant(self.now), self.instant(at));
        let host = &mut self.hosts[to];
        let cut_until = host.register_cut_until.max(host.answers_cut_until);
        if host.life == life && cut_until <= self.now {
            host.candidate.on_answer(now, at, step, record);
        }
    }

    /// Checks the lease and writes a call, perhaps with a suspension in between.
    fn call(&mut self, machine: Machine) {
        let interval = self.random.random_range(1..2 * CALL_INTERVAL);
        self.schedule(interval, Event::Call(machine));
        let now = self.instant(self.now);
        let length = Duration::from_millis(CALL);
        let Some(token) = self.hosts[machine].candidate.fence(now, length) else {
            return;
        };
        let suspended = self.chance(3);
        if suspended {
            self.suspend(machine);
        }
        let host = &self.hosts[machine];
        let life = host.life;
        let after = if suspended {
            host.suspended_until - self.now + self.random.random_range(0..THAW)
        } else if self.chance(200) {
            self.random.random_range(1..=CALL)
        } else {
            self.random.random_range(1..30)
        };
        let written = if suspended {
            self.now + after
        } else {
            self.now
        };
        let end = Event::CallEnd {
            from: machine,
            life,
            token,
            written,
        };
        self.schedule(after, end);
    }

    fn call_end(&mut self, from: Machine, life: u64, token: FencingToken, written: Millis) {
        let now = self.instant(self.now);
        let host = &mut self.hosts[from];
        // A call that the platform has not got when its sender stops or is cut off waits for
        // either to end, but is reset after its timeout.
        let blocked_until = host.suspended_until.max(host.platform_cut_until);
        if blocked_until > self.now {
            if blocked_until < written + CALL {
                let wait = blocked_until - self.now;
                let end = Event::CallEnd {
                    from,
                    life,
                    token,
                    written,
                };
                self.schedule(wait, end);
            } else if host.life == life && host.suspended_until <= self.now {
                host.candidate.on_call(now, false);
            }
            return;
        }
        let excused = host.is_excused(self.now);
        if host.life == life {
            host.candidate.on_call(now, true);
        }
        let hold = millis(Settings::default().term) * 2 / 3;
        let renewed = self.renewed.get(&token).copied().unwrap_or_default();
        if !excused && self.now > renewed + hold {
            let fault = format!("{}: call of {from} after its hold time", self.now);
            self.platform.faults.push(fault);
        }
        self.platform.on_call(self.now, from, token, excused);
    }

    fn suspend(&mut self, machine: Machine) {
        let length = self.random.random_range(100..12_000);
        let until = (self.now + length).min(FAULTS_END);
        let host = &mut self.hosts[machine];
        host.suspended_until = until.max(host.suspended_until);
    }

    fn fault(&mut self, machine: Machine) {
        if !self.has_faults() {
            return;
        }
        let next = self.random.random_range(500..8_000);
        self.schedule(next, Event::Fault(machine));
        let until = self.now + self.random.random_range(100..10_000);
        let until = until.min(FAULTS_END);
        match self.random.random_range(0..7) {
            0 => self.suspend(machine),
            1 => {
                let host = &mut self.hosts[machine];
                host.register_cut_until = until.max(host.register_cut_until);
            }
            2 => {
                let host = &mut self.hosts[machine];
                host.platform_cut_until = until.max(host.platform_cut_until);
            }
            3 => {
                let host = &mut self.hosts[machine];
                host.answers_cut_until = until.max(host.answers_cut_until);
            }
            4 => self.restart(machine),
            5 => {
                self.hosts[machine].replica = self.replica();
                self.restart(machine);
            }
            _ => {
                let now = self.instant(self.now);
                self.hosts[machine].candidate.abstain(now);
            }
        }
    }

    /// Restarts the process; its view begins somewhere in the past.
    fn restart(&mut self, machine: Machine) {
        let lag = self.random.random_range(0..6_000);
        let host = &mut self.hosts[machine];
        host.life += 1;
        host.lag = lag;
        host.candidate = candidate(host.replica, machine);
    }
}

fn candidate(replica: ReplicaId, machine: Machine) -> Candidate {
    Candidate::new(Settings::default(), replica, format!("d{machine}"))
}

/// Guards against overlapping holders, tokens that fall or are shared, holders that
/// alternate within the term, and calls that outlast the lease of their sender.
#[gtest]
fn the_platform_sees_one_holder_at_a_time() {
    let mut calls = 0;
    let mut changes = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        world.run();
        let faults = &world.platform.faults;
        let shown: Vec<&String> = faults.iter().take(3).collect();
        assert!(faults.is_empty(), "seed {seed}: {shown:#?}");
        calls += world.platform.calls;
        changes += world.platform.runs.len();
    }
    // A model in which nobody calls, or nobody changes, would hold trivially.
    expect_that!(calls, gt(100_000));
    expect_that!(changes, gt(1_000));
}

/// Guards against leases that nobody takes, or that change hands without cause.
#[gtest]
fn one_holder_is_found_within_two_terms_and_stays() {
    let settings = Settings::default();
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        world.run();
        let found_by = FAULTS_END + DRAIN + 2 * millis(settings.term);
        let after = world.calm.iter().filter(|(at, _)| *at > found_by);
        let mut holders: Vec<&Vec<Machine>> = after.map(|(_, it)| it).collect();
        holders.dedup();
        assert!(
            matches!(holders.as_slice(), [holders] if holders.len() == 1),
            "seed {seed}: {holders:?}"
        );
    }
}

/// A point in time, in ms since an arbitrary start.
fn at(start: Instant, after: Millis) -> Instant {
    start + Duration::from_millis(after)
}

/// The record of a lease of replica 7.
fn record(token: FencingToken, renewed: Index) -> Record {
    Record {
        holder: 7,
        instance: "d7".to_owned(),
        token,
        renewed,
    }
}

fn renewal(token: FencingToken) -> Step {
    Step::Renew {
        holder: 7,
        instance: "d7".to_owned(),
        token,
    }
}

/// Guards against a lease that is counted from a take that had no effect, since an earlier
/// one of the same candidate was granted: others may take over counted from that one.
#[gtest]
fn a_take_that_was_too_late_does_not_extend_the_lease() {
    let start = Instant::now();
    let mut candidate = candidate(7, 7);
    candidate.observe(start, None);
    let first = candidate
        .propose(at(start, 4_000), 0)
        .expect("nobody holds");
    assert!(matches!(first, Step::Take { .. }));
    let mut register = None;
    first.apply(5, &mut register);
    let second = candidate
        .propose(at(start, 6_000), 0)
        .expect("no answer came");
    second.apply(6, &mut register);
    let proposed_at = at(start, 6_000);
    candidate.on_answer(proposed_at, proposed_at, &second, register.as_ref());
    expect_that!(candidate.fence(proposed_at, Duration::ZERO), none());
    expect_that!(
        candidate.propose(proposed_at, 0),
        some(eq(&renewal(5))),
        "the renewal proves it"
    );
}

/// A candidate that holds the lease since `start`, under token 5.
fn holder(start: Instant) -> Candidate {
    let mut candidate = candidate(7, 7);
    candidate.observe(start, Some(&record(5, 5)));
    let step = candidate.propose(start, 0).expect("its own lease is due");
    candidate.on_answer(start, start, &step, Some(&record(5, 6)));
    assert_that!(candidate.fence(start, Duration::ZERO), some(eq(5)));
    candidate
}

/// Guards against a lease that was given up and is used again, since the answer to a
/// renewal was on its way.
#[gtest]
fn a_late_answer_does_not_end_an_abstention() {
    let start = Instant::now();
    let mut candidate = holder(start);
    let renewed_at = at(start, 800);
    let step = candidate.propose(renewed_at, 0).expect("a renewal is due");
    candidate.abstain(renewed_at);
    candidate.on_answer(at(start, 810), renewed_at, &step, Some(&record(5, 9)));
    expect_that!(candidate.fence(at(start, 810), Duration::ZERO), none());
}

/// Guards against a holder that gives the lease up at its first failed call, since one had
/// failed in an earlier hold.
#[gtest]
fn failures_of_an_earlier_hold_do_not_count() {
    let start = Instant::now();
    let mut candidate = holder(start);
    candidate.on_call(at(start, 100), false);
    let later = at(start, 60_000);
    let step = candidate.propose(later, 0).expect("its lease lapsed");
    candidate.on_answer(later, later, &step, Some(&record(5, 9)));
    candidate.on_call(later, false);
    expect_that!(candidate.fence(later, Duration::ZERO), some(eq(5)));
    candidate.on_call(later + Settings::default().unreachable_after, false);
    expect_that!(
        candidate.abstains(later + Settings::default().unreachable_after),
        eq(true)
    );
}

/// Guards against a replica that lacks the grant for good, since it was applied there by a
/// build without leases: as a leader it would refuse the holder and grant a second lease.
#[gtest]
fn a_replica_without_the_grant_adopts_the_lease_that_is_renewed() {
    for mut lacking in [None, Some(record(3, 4))] {
        renewal(5).apply(8, &mut lacking);
        expect_that!(lacking, some(eq(&record(5, 8))));
    }
    let mut newer = Some(record(6, 7));
    renewal(5).apply(8, &mut newer);
    expect_that!(newer, some(eq(&record(6, 7))));
}

/// Guards against a candidate that asks all replicas at each look while no take succeeds,
/// and against a holder that renews too late to keep the lease after one lost renewal.
#[gtest]
fn a_take_that_failed_waits_longer_than_a_renewal() {
    let start = Instant::now();
    let mut taker = candidate(7, 7);
    taker.observe(start, None);
    let taken_at = at(start, 4_000);
    assert_that!(taker.propose(taken_at, 0), some(anything()));
    taker.on_no_answer(taken_at);
    expect_that!(taker.propose(at(start, 4_900), 0), none());
    expect_that!(taker.propose(at(start, 5_000), 0), some(anything()));

    let mut holder = holder(start);
    let renewed_at = at(start, 800);
    assert_that!(holder.propose(renewed_at, 0), some(anything()));
    holder.on_no_answer(renewed_at);
    expect_that!(holder.propose(at(start, 1_000), 0), none());
    expect_that!(holder.propose(at(start, 1_050), 0), some(eq(&renewal(5))));
}

/// Guards against a holder that goes on calling although its replica shows that another one
/// has the lease.
#[gtest]
fn a_holder_that_sees_the_lease_of_another_sends_nothing() {
    let start = Instant::now();
    let mut candidate = holder(start);
    let other = Record {
        holder: 8,
        ..record(9, 9)
    };
    candidate.observe(at(start, 100), Some(&other));
    expect_that!(candidate.fence(at(start, 100), Duration::ZERO), none());
}

/// Guards against a machine that keeps the lease of another alive under its token.
#[gtest]
fn a_renewal_by_another_holder_has_no_effect() {
    let mut register = Some(Record {
        holder: 8,
        ..record(5, 6)
    });
    let before = register.clone();
    renewal(5).apply(7, &mut register);
    expect_that!(register, eq(&before));
}

/// Guards against a take that does not leave the time for clocks which run at different
/// rates, and against candidates that all propose at once.
#[gtest]
fn a_take_waits_for_the_margin_and_the_rank() {
    let start = Instant::now();
    for (rank, wait) in [(0, 3_500), (1, 3_650), (4, 4_100)] {
        let mut candidate = candidate(8, 8);
        candidate.observe(start, Some(&record(5, 5)));
        expect_that!(
            candidate.propose(at(start, wait - 1), rank),
            none(),
            "{rank}"
        );
        let step = candidate.propose(at(start, wait), rank);
        expect_that!(step, some(anything()), "{rank}");
    }
}

/// Guards against a hold that is cut short by the late answer to an older renewal.
#[gtest]
fn the_answer_to_an_older_renewal_does_not_shorten_the_hold() {
    let start = Instant::now();
    let mut candidate = holder(start);
    let (older, newer) = (at(start, 800), at(start, 1_800));
    candidate.on_answer(newer, newer, &renewal(5), Some(&record(5, 8)));
    let late = at(start, 1_900);
    candidate.on_answer(late, older, &renewal(5), Some(&record(5, 7)));
    expect_that!(
        candidate.fence(at(start, 3_700), Duration::ZERO),
        some(eq(5))
    );
    expect_that!(candidate.fence(at(start, 3_801), Duration::ZERO), none());
}
