//! How long each runner takes now, where runners share their machines with others.
//!
//! Load pattern: the runners of a service differ in speed, and what else runs on their
//! machines slows each of them several times for some hundred milliseconds. Runners name
//! their present slowdown in their answers, so that the figure is as old as the last answer:
//! a runner that gets few requests is known by an old one. Balancing by the number of
//! requests sends as many to a runner that takes four times as long.
//!
//! The slowness of a runner is the product of two estimates. One is learned: its service
//! times relative to those of the other runners, divided by the slowdown that it named with
//! each. The other is the slowdown that it named last, which counts the less the older it is;
//! the runner's mean slowdown takes its place.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::message::{Load, Report};
use crate::id::ClassId;

/// Key of the prefill times of prompts, beside the names of classes, none of which is empty.
pub(super) const PREFILL: &str = "";

/// Service time assumed of a service without samples, in seconds. It only has to be well above
/// the cost of a remote runner.
const DEFAULT_WORK: f64 = 0.02;

/// Slowdown of a machine by itself, and service time of the mean runner.
const USUAL: f64 = 1.0;

/// Service time assumed of a runner that is not measured, relative to the mean. It is below that
/// of the fastest runners seen (0.6), so that each is tried; at the usual one, a fast runner would
/// never be found once another was known to be faster than the mean.
const UNTRIED: f64 = 0.5;

/// Least and most slowdown that is believed. A service time is divided by it, so that a figure
/// of almost zero would spoil what was learned.
const SLOWDOWNS: (f64, f64) = (0.5, 10.0);

/// Time between changes of a slowdown, as measured on shared machines. The phase is unknown, so
/// that a slowdown is still the same after `age` with the probability 1 - age / 600 ms.
const SLOWDOWN_PERIOD: Duration = Duration::from_millis(600);

/// Time over which the mean slowdown is taken: fifty changes.
const SLOWDOWN_WINDOW: Duration = Duration::from_secs(30);

/// Time for which the usual slowdown counts in the mean at first.
const SLOWDOWN_PRIOR: Duration = Duration::from_secs(3);

/// Least weight of a new service time in the mean of its class at a runner.
const SAMPLE_GAIN: f64 = 0.05;

/// Fewest service times of a class at a runner before they are compared.
const MIN_SAMPLES: u32 = 3;

/// Most samples of a class that count when its comparison is weighted with those of others.
const MAX_WEIGHT: u32 = 20;

/// Most classes whose service times are kept for a runner.
const MAX_CLASSES: usize = 16;

/// Time constant by which a learned slowness decays to [`UNTRIED`] without new samples, so that
/// a runner which got no requests because it was slow is tried again after some minutes.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Mean of service times in seconds, corrected by the slowdowns at those times.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    /// Adds a service time. Whatever of it passed outside the runner is divided too, so that
    /// it counts the less the higher the slowdown was.
    fn add(&mut self, seconds: f64, slowdown: f64, least_gain: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = least_gain.max(1.0 / f64::from(self.samples));
        let weight = gain
            / if self.samples > 1 {
                slowdown.max(USUAL)
            } else {
                USUAL
            };
        self.value += weight * (seconds / slowdown - self.value);
    }
}

/// Speed of one runner.
#[derive(Debug)]
pub(super) struct Speed {
    times: IndexMap<ClassId, Mean>,
    /// Service time relative to the mean over the pool, without the present slowdown.
    learned: Option<f64>,
    sampled_at: Option<Instant>,
    slowdown: f64,
    named_at: Option<Instant>,
    mean_slowdown: f64,
    /// Time that the mean slowdown covers.
    covered: Duration,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            times: IndexMap::new(),
            learned: None,
            sampled_at: None,
            slowdown: USUAL,
            named_at: None,
            mean_slowdown: USUAL,
            covered: SLOWDOWN_PRIOR,
        }
    }
}

/// The slowdown that a load names.
pub(super) fn slowdown(load: &Load) -> f64 {
    let named = load.percent.map_or(USUAL, |it| f64::from(it) / 100.0);
    named.clamp(SLOWDOWNS.0, SLOWDOWNS.1)
}

impl Speed {
    /// Records the slowdown that the runner named; an older one than the last is ignored.
    pub(super) fn on_report(&mut self, now: Instant, report: &Report) {
        let at = now.checked_sub(report.age).unwrap_or(now);
        if report.load.percent.is_none() || self.named_at.is_some_and(|known| at <= known) {
            return;
        }
        let slowdown = slowdown(&report.load);
        // A runner is asked more often while it is fast, so figures count by time.
        let passed = self.named_at.map_or(SLOWDOWN_PERIOD, |known| {
            at.saturating_duration_since(known).min(SLOWDOWN_PERIOD)
        });
        self.covered = (self.covered + passed).min(SLOWDOWN_WINDOW);
        let share = passed.as_secs_f64() / self.covered.as_secs_f64();
        self.mean_slowdown += share * (slowdown - self.mean_slowdown);
        self.slowdown = slowdown;
        self.named_at = Some(at);
    }

    /// Records a service time of a class, with the slowdown at that time.
    pub(super) fn on_time(&mut self, now: Instant, class: &str, took: Duration, slowdown: f64) {
        let forgotten = 1.0 - decay(self.sample_age(now), FORGET_AFTER);
        let least_gain = SAMPLE_GAIN.max(forgotten);
        self.sampled_at = Some(now);
        if self.times.len() >= MAX_CLASSES && !self.times.contains_key(class) {
            return;
        }
        if !self.times.contains_key(class) {
            self.times.insert(class.to_owned(), Mean::default());
        }
        if let Some(mean) = self.times.get_mut(class) {
            mean.add(took.as_secs_f64(), slowdown, least_gain);
        }
    }

    fn sample_age(&self, now: Instant) -> Duration {
        self.sampled_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Learned service time relative to the mean over the pool.
    pub(super) fn learned(&self, now: Instant) -> f64 {
        let learned = self.learned.unwrap_or(UNTRIED);
        UNTRIED + (learned - UNTRIED) * decay(self.sample_age(now), FORGET_AFTER)
    }

    /// Expected service time now, relative to the mean over the pool.
    pub(super) fn slowness(&self, now: Instant) -> f64 {
        let age = self
            .named_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.learned(now) * self.aged(self.slowdown, age)
    }

    /// Expected slowdown at the end of a request whose answer carried that report.
    pub(super) fn slowdown_at(&self, report: &Report) -> f64 {
        self.aged(slowdown(&report.load), report.age)
    }

    /// Expected slowdown when that time has passed since another was named.
    fn aged(&self, named: f64, age: Duration) -> f64 {
        let unchanged = 1.0 - (age.as_secs_f64() / SLOWDOWN_PERIOD.as_secs_f64()).min(1.0);
        self.mean_slowdown + (named - self.mean_slowdown) * unchanged
    }

    /// Compares its service times with those of the pool.
    fn learn(&mut self, usual: &Usual) {
        let mut sum = 0.0;
        let mut weights = 0.0;
        for (class, mean) in &self.times {
            let usual = usual.times.get(class).copied().unwrap_or(0.0);
            if mean.samples >= MIN_SAMPLES && usual > 0.0 {
                let weight = f64::from(mean.samples.min(MAX_WEIGHT));
                sum += weight * mean.value / usual;
                weights += weight;
            }
        }
        if weights > 0.0 {
            self.learned = Some(sum / weights);
        }
    }
}

/// Mean service times over the runners of a pool, in seconds.
#[derive(Debug, Default)]
pub(super) struct Usual {
    times: IndexMap<ClassId, f64>,
}

impl Usual {
    /// Takes the means over the runners, and compares each with them. Every runner counts
    /// once, however many requests it was given.
    pub(super) fn update<'a, S>(&mut self, speeds: S)
    where
        S: Iterator<Item = &'a mut Speed>,
    {
        let mut speeds: Vec<&mut Speed> = speeds.collect();
        let mut sums: IndexMap<ClassId, (f64, f64)> = IndexMap::new();
        for (class, mean) in speeds.iter().flat_map(|it| &it.times) {
            if mean.samples < MIN_SAMPLES {
                continue;
            }
            if let Some((sum, count)) = sums.get_mut(class) {
                *sum += mean.value;
                *count += 1.0;
            } else {
                sums.insert(class.clone(), (mean.value, 1.0));
            }
        }
        let means = sums
            .into_iter()
            .map(|(class, (sum, count))| (class, sum / count));
        self.times = means.collect();
        for speed in &mut speeds {
            speed.learn(self);
        }
    }

    /// Service time of a class; that of all classes if none is known of it.
    pub(super) fn work(&self, class: &str) -> f64 {
        if let Some(known) = self.times.get(class) {
            return *known;
        }
        let known = || self.times.iter().filter(|(class, _)| *class != PREFILL);
        let sum: f64 = known().map(|(_, time)| time).sum();
        let count = known().map(|_| 1.0).sum::<f64>();
        if count > 0.0 {
            sum / count
        } else {
            DEFAULT_WORK
        }
    }
}

/// Share of an estimate that is left after `age`.
fn decay(age: Duration, constant: Duration) -> f64 {
    (-age.as_secs_f64() / constant.as_secs_f64()).exp()
}
