//! Cost of prefilling a prompt on a runner, by its cached parts and the streams delayed.
//!
//! Load pattern: prompts of very different lengths share the runners with long
//! answers whose events must not pause. A runner prefills prompts in chunks between
//! the tokens of everything else it runs, so one long prompt delays all streams
//! there, while a part that is still in the runner's KV cache costs nothing.
//! Balancing by request count spreads both evenly, which is the worst case for
//! either: every stream runs beside a long prompt, and every runner prefills every
//! shared part.
//!
//! All costs are in tokens to prefill, so that they can be summed: the prefill queued
//! ahead of a request, its own prefill, the delay that this causes to latency-sensitive
//! streams on the runner, and the delay that other prefill will cause to the request.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::message::Part;
use crate::catalogue::Class;

/// Memory of a runner for prompts and answers, in tokens, where none is declared.
const DEFAULT_MEMORY_TOKENS: u64 = 200_000;

/// Share of the memory that running requests may fill before no more are added; the
/// rest is reserve for answers longer than expected.
const MAX_MEMORY_SHARE: f64 = 0.9;

/// Pause between two events while a runner reads one long prompt after another:
/// four steps of one chunk of 1,024 tokens at 40 tokens a millisecond, with the
/// attention to a context of some thousand tokens.
const PREFILL_PAUSE: Duration = Duration::from_millis(150);

/// Length from which a prompt's chunks take longer than the shortest pauses
/// allow, since each attends to all before it.
const LONG_PROMPT_TOKENS: f64 = 8_000.0;

/// Weight of what must be read against what merely stands before: reading takes
/// the place of other reading, too.
const PREFILL_WEIGHT: f64 = 6.0;

/// Time over which the reading of a runner is remembered.
const INTERFERENCE_DECAY: Duration = Duration::from_millis(1_500);

/// Reading that stands before a runner's requests, in tokens, over which it is
/// given no more; 1.2 s at 40 tokens a millisecond, the aim of long prompts less
/// what a first token takes.
const MAX_PENDING_TOKENS: u64 = 49_152;

/// Cost of a runner at its limit of requests, in tokens: its steps take longer.
const FULL_LOAD_TOKENS: f64 = 3_000.0;

/// What a request asks of the runner that reads its prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work<'a> {
    pub(super) prompt: &'a [Part],
    /// Most tokens of the answer.
    pub(super) output: u32,
    /// How much a pause hurts its class, from zero to one.
    pub(super) pause_sensitivity: f64,
}

impl Work<'_> {
    /// Length of the whole prompt.
    fn length(&self) -> u64 {
        self.prompt.iter().map(|it| u64::from(it.tokens)).sum()
    }

    /// How much its reading makes others pause, from zero to one a token.
    fn interference_per_token(&self) -> f64 {
        let length = as_f64(self.length());
        (length / LONG_PROMPT_TOKENS).min(1.0).powi(2)
    }
}

/// How much a pause hurts a class, from zero to one.
pub(super) fn pause_sensitivity(class: &Class) -> f64 {
    let allowed = class.between_tokens.as_secs_f64().max(0.001);
    (PREFILL_PAUSE.as_secs_f64() / allowed).min(1.0).powi(3)
}

/// What one running request takes of its runner.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// Tokens that it had to prefill; zero once its answer has started.
    pending: u64,
    /// Tokens that stood before it at its grant, its own included.
    pub(super) ahead: u64,
    /// Whether its answer has started.
    pub(super) answer_started: bool,
    /// Whether the time to its beginning tells of the runner.
    pub(super) timed: bool,
    /// Tokens of memory.
    size: u64,
    pause_sensitivity: f64,
}

/// What one runner keeps, reads and serves.
#[derive(Debug, Default)]
pub(super) struct Load {
    /// Memory in tokens; zero if not declared.
    memory: u64,
    /// Cached prompt parts and their tokens, least recently used first.
    cached: IndexMap<u64, u32>,
    cached_tokens: u64,
    /// Tokens granted and not read yet.
    pending: u64,
    /// Tokens of running requests.
    used: u64,
    /// Sum of the pause sensitivities of the running requests.
    sensitivity: f64,
    /// Recent reading that makes others pause, in tokens, fading.
    interference: f64,
    interference_at: Option<Instant>,
}

impl Load {
    pub(super) fn set_memory(&mut self, tokens: u32) {
        self.memory = tokens.into();
    }

    /// Clears the cached parts after the runner has lost them.
    pub(super) fn clear_cache(&mut self) {
        self.cached.clear();
        self.cached_tokens = 0;
        self.interference = 0.0;
    }

    /// Whether the runner has room for the prompt, and time to read it soon.
    pub(super) fn has_room(&self, work: &Work<'_>) -> bool {
        if self.pending == 0 && self.used == 0 {
            return true;
        }
        let size = work.length() + u64::from(work.output);
        let room = as_f64(self.memory()) * MAX_MEMORY_SHARE;
        self.pending < MAX_PENDING_TOKENS && as_f64(self.used + size) <= room
    }

    /// Cost of the work here, in tokens to read.
    pub(super) fn cost(&self, now: Instant, work: &Work<'_>, utilisation: f64) -> f64 {
        let uncached = as_f64(self.uncached(work.prompt));
        let own = as_f64(self.pending) + PREFILL_WEIGHT * uncached;
        let paused = work.pause_sensitivity * self.interference(now);
        let pausing = self.sensitivity * uncached * work.interference_per_token();
        own + paused + pausing + utilisation * FULL_LOAD_TOKENS
    }

    /// Tokens of a prompt that the runner would have to prefill: a cached part is of
    /// use only if all parts before it are cached too.
    fn uncached(&self, prompt: &[Part]) -> u64 {
        let missing = prompt
            .iter()
            .skip_while(|it| self.cached.contains_key(&it.id));
        missing.map(|it| u64::from(it.tokens)).sum()
    }

    /// Notes that the work runs here.
    pub(super) fn begin(&mut self, now: Instant, work: &Work<'_>) -> Usage {
        let pending = self.uncached(work.prompt);
        self.pending += pending;
        let size = work.length() + u64::from(work.output);
        self.used += size;
        self.sensitivity += work.pause_sensitivity;
        self.interference =
            self.interference(now) + as_f64(pending) * work.interference_per_token();
        self.interference_at = Some(now);
        for part in work.prompt {
            self.cache_part(*part);
        }
        self.evict();
        Usage {
            pending,
            ahead: self.pending,
            answer_started: false,
            timed: true,
            size,
            pause_sensitivity: work.pause_sensitivity,
        }
    }

    /// Records that the answer has started, so that the prompt has been prefilled.
    pub(super) fn finish_prefill(&mut self, usage: &mut Usage) {
        usage.answer_started = true;
        self.pending = self
            .pending
            .saturating_sub(std::mem::take(&mut usage.pending));
    }

    /// Notes that the work is over.
    pub(super) fn end(&mut self, mut usage: Usage) {
        self.finish_prefill(&mut usage);
        self.used = self.used.saturating_sub(usage.size);
        self.sensitivity = (self.sensitivity - usage.pause_sensitivity).max(0.0);
    }

    fn memory(&self) -> u64 {
        if self.memory == 0 {
            DEFAULT_MEMORY_TOKENS
        } else {
            self.memory
        }
    }

    fn interference(&self, now: Instant) -> f64 {
        if self.interference <= 0.0 {
            return 0.0;
        }
        let age = self
            .interference_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.interference * (-age.as_secs_f64() / INTERFERENCE_DECAY.as_secs_f64()).exp()
    }

    /// Makes a part the most recently used.
    fn cache_part(&mut self, part: Part) {
        if let Some(place) = self.cached.get_index_of(&part.id) {
            self.cached.move_index(place, self.cached.len() - 1);
            return;
        }
        self.cached.insert(part.id, part.tokens);
        self.cached_tokens += u64::from(part.tokens);
    }

    /// Lets the least recently used parts go that no longer fit.
    fn evict(&mut self) {
        let memory = self.memory();
        while self.cached_tokens > memory {
            let Some((_, tokens)) = self.cached.shift_remove_index(0) else {
                return;
            };
            self.cached_tokens -= u64::from(tokens);
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below the mantissa's range"
)]
fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}
