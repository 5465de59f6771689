//! Simulated runner with continuous batching.
//!
//! Each iteration generates one token for every running request and takes longer
//! the more requests run. Requests beyond its slots queue on the runner, the
//! highest tier first.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

/// Base time of an iteration.
const ITERATION: Duration = Duration::from_millis(18);

/// Iteration time added by each running request.
const PER_REQUEST: Duration = Duration::from_micros(800);

/// Prefill time if the prompt's prefix is not cached.
pub const COLD_PREFILL: Duration = Duration::from_millis(60);

/// Prefill time if the prompt's prefix is cached.
pub const WARM_PREFILL: Duration = Duration::from_millis(15);

/// Number of prefixes that fit in the cache.
const CACHED_PREFIXES: usize = 12;

/// Throughput of one runner with `slots` running requests, in tokens per second.
pub fn tokens_per_second(slots: u32) -> f64 {
    f64::from(slots) / (ITERATION + PER_REQUEST * slots).as_secs_f64()
}

/// A request in a slot of the runner.
#[derive(Clone, Debug)]
struct Running {
    ready: Duration,
    left: u32,
}

/// Output of one request in one iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Token(usize),
    Last(usize),
}

#[derive(Debug)]
pub struct Engine {
    pub slots: usize,
    /// Factor on all times of the runner.
    pub slowdown: u32,
    pub down: bool,
    running: IndexMap<usize, Running>,
    waiting: Vec<(u8, usize, u32, u64)>,
    prefixes: VecDeque<u64>,
    pub iterating: bool,
    /// Time spent on prefill, to account for wasted work.
    pub prefill: Duration,
}

impl Engine {
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            slowdown: 1,
            down: false,
            running: IndexMap::new(),
            waiting: Vec::new(),
            prefixes: VecDeque::new(),
            iterating: false,
            prefill: Duration::ZERO,
        }
    }

    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    pub fn add(&mut self, now: Duration, request: usize, tier: u8, left: u32, prefix: u64) {
        self.waiting.push((tier, request, left, prefix));
        self.fill(now);
    }

    pub fn cancel(&mut self, now: Duration, request: usize) {
        self.running.swap_remove(&request);
        self.waiting.retain(|it| it.1 != request);
        self.fill(now);
    }

    /// Stops the runner and returns the requests that ran or waited on it.
    pub fn crash(&mut self) -> Vec<usize> {
        self.down = true;
        let mut requests: Vec<usize> = self.running.drain(..).map(|(it, _)| it).collect();
        requests.extend(self.waiting.drain(..).map(|it| it.1));
        self.prefixes.clear();
        requests
    }

    fn fill(&mut self, now: Duration) {
        while self.running.len() < self.slots {
            let next = (0..self.waiting.len()).min_by_key(|it| (self.waiting[*it].0, *it));
            let Some(next) = next else { return };
            let (_, request, left, prefix) = self.waiting.remove(next);
            let warm = self.prefixes.contains(&prefix);
            self.prefixes.retain(|it| *it != prefix);
            self.prefixes.push_back(prefix);
            if self.prefixes.len() > CACHED_PREFIXES {
                self.prefixes.pop_front();
            }
            let prefill = if warm { WARM_PREFILL } else { COLD_PREFILL } * self.slowdown;
            self.prefill += prefill;
            let ready = now + prefill;
            self.running.insert(request, Running { ready, left });
        }
    }

    /// Duration of the next iteration; none if the runner is idle.
    pub fn iteration(&self) -> Option<Duration> {
        let count = u32::try_from(self.running.len()).ok()?;
        (count > 0).then(|| (ITERATION + PER_REQUEST * count) * self.slowdown)
    }

    /// Completes an iteration and returns its tokens.
    pub fn step(&mut self, now: Duration) -> Vec<Step> {
        let mut steps = Vec::new();
        for (request, it) in &mut self.running {
            if it.ready > now {
                continue;
            }
            it.left -= 1;
            steps.push(if it.left == 0 {
                Step::Last(*request)
            } else {
                Step::Token(*request)
            });
        }
        self.running.retain(|_, it| it.left > 0);
        self.fill(now);
        steps
    }
}
