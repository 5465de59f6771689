//! A runner that batches continuously: each iteration gives every running
//! request one token, and takes longer the more run. Requests beyond its slots
//! wait there, the highest tier first.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

/// Time of an iteration without requests.
const ITERATION: Duration = Duration::from_millis(18);

/// Added to an iteration by each running request.
const PER_REQUEST: Duration = Duration::from_micros(800);

/// Time until the first token when the prompt's prefix is not in memory.
pub const COLD: Duration = Duration::from_millis(60);

/// Time until the first token when it is.
pub const WARM: Duration = Duration::from_millis(15);

/// Prefixes that fit in memory.
const PREFIXES: usize = 12;

/// Tokens per second that one runner with all slots in use gives.
pub fn tokens_per_second(slots: u32) -> f64 {
    f64::from(slots) / (ITERATION + PER_REQUEST * slots).as_secs_f64()
}

/// One request on the runner.
#[derive(Clone, Debug)]
struct Running {
    ready: Duration,
    left: u32,
}

/// What happened to a request in one iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Token(usize),
    Last(usize),
}

#[derive(Debug)]
pub struct Engine {
    pub slots: usize,
    /// Factor on all its times.
    pub slow: u32,
    pub down: bool,
    running: IndexMap<usize, Running>,
    waiting: Vec<(u8, usize, u32, u64)>,
    prefixes: VecDeque<u64>,
    pub iterating: bool,
    /// Time spent on prompts, for the account of wasted work.
    pub prefill: Duration,
}

impl Engine {
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            slow: 1,
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

    /// Ends everything; the requests that were there.
    pub fn crash(&mut self) -> Vec<usize> {
        self.down = true;
        let mut there: Vec<usize> = self.running.drain(..).map(|(it, _)| it).collect();
        there.extend(self.waiting.drain(..).map(|it| it.1));
        self.prefixes.clear();
        there
    }

    fn fill(&mut self, now: Duration) {
        while self.running.len() < self.slots {
            let next = (0..self.waiting.len()).min_by_key(|it| (self.waiting[*it].0, *it));
            let Some(next) = next else { return };
            let (_, request, left, prefix) = self.waiting.remove(next);
            let warm = self.prefixes.contains(&prefix);
            self.prefixes.retain(|it| *it != prefix);
            self.prefixes.push_back(prefix);
            if self.prefixes.len() > PREFIXES {
                self.prefixes.pop_front();
            }
            let prefill = if warm { WARM } else { COLD } * self.slow;
            self.prefill += prefill;
            let ready = now + prefill;
            self.running.insert(request, Running { ready, left });
        }
    }

    /// Time of the next iteration, if anything runs.
    pub fn iteration(&self) -> Option<Duration> {
        let count = u32::try_from(self.running.len()).ok()?;
        (count > 0).then(|| (ITERATION + PER_REQUEST * count) * self.slow)
    }

    /// Ends an iteration.
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
