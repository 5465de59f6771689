//! Cost of prefilling a prompt on a runner: cached parts and delayed streams.
//!
//! Load pattern: prompts of very different lengths share the runners with long
//! answers whose events must not pause. A runner prefills prompts in chunks between
//! the tokens of everything else it runs, so one long prompt delays all streams
//! there, while a part that is still in the runner's KV cache costs nothing.
//! Balancing by request count spreads both evenly, which is the worst case for
//! either: every stream runs beside a long prompt, and every runner prefills every
//! shared part. Under a burst of prompts with long shared parts all slots are taken; a
//! request that goes to any slot that is free, instead of waiting for the runner that
//! keeps its parts, has them prefilled again.
//!
//! All costs are in tokens to prefill, so that they can be summed: the prefill queued
//! ahead of a request, its own prefill, the delay that this causes to latency-sensitive
//! streams on the runner, and the delay that other prefill will cause to the request.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::message::Part;
use crate::catalogue::Class;

/// KV-cache capacity of a runner, in tokens, if none is declared.
const DEFAULT_MEMORY_TOKENS: u64 = 200_000;

/// Share of the memory that running requests may fill before no more are added; the
/// rest is reserve for answers longer than expected.
const MAX_MEMORY_SHARE: f64 = 0.9;

/// Pause between two events while a runner prefills one long prompt after another:
/// four steps of one chunk of 1,024 tokens at 40 tokens a millisecond, with the
/// attention to a context of some thousand tokens.
const PREFILL_PAUSE: Duration = Duration::from_millis(150);

/// Prompt length from which a chunk takes longer than the shortest allowed pause,
/// since each chunk attends to all tokens before it.
const LONG_PROMPT_TOKENS: f64 = 8_000.0;

/// Weight of a request's own prefill relative to the prefill queued ahead of it: its
/// own also displaces that of other requests.
const PREFILL_WEIGHT: f64 = 6.0;

/// Time constant by which a runner's recorded interference decays.
const INTERFERENCE_DECAY: Duration = Duration::from_millis(1_500);

/// Pending prefill of a runner, in tokens, from which it is given no more: 1.2 s at 40
/// tokens a millisecond, the target of long prompts less the time of a first token.
const MAX_PENDING_TOKENS: u64 = 49_152;

/// Cost of full utilisation, in tokens: a runner's steps take longer then.
const FULL_LOAD_TOKENS: f64 = 3_000.0;

/// Work that a request with a prompt puts on a runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work<'a> {
    pub(super) prompt: &'a [Part],
    /// Most tokens of the answer.
    pub(super) output: u32,
    /// Pause sensitivity of its class, from zero to one.
    pub(super) pause_sensitivity: f64,
}

impl Work<'_> {
    /// Length of the whole prompt, in tokens.
    fn length(&self) -> u64 {
        self.prompt.iter().map(|it| u64::from(it.tokens)).sum()
    }

    /// How much each prefilled token delays other streams, from zero to one.
    fn interference_per_token(&self) -> f64 {
        let length = as_f64(self.length());
        (length / LONG_PROMPT_TOKENS).min(1.0).powi(2)
    }
}

/// How much a pause between tokens harms a class, from zero to one.
pub(super) fn pause_sensitivity(class: &Class) -> f64 {
    let allowed = class.between_tokens.as_secs_f64().max(0.001);
    (PREFILL_PAUSE.as_secs_f64() / allowed).min(1.0).powi(3)
}

/// Resources of a runner that one running request uses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// Tokens that it had to prefill; zero once its answer has started.
    pending: u64,
    /// Tokens pending at its grant, its own included.
    pub(super) ahead: u64,
    /// Whether its answer has started.
    pub(super) answer_started: bool,
    /// Whether the time to its first token measures the runner.
    pub(super) timed: bool,
    /// KV-cache tokens that it may fill.
    pub(super) size: u64,
    pause_sensitivity: f64,
}

/// Cached parts, pending prefill and running streams of one runner.
#[derive(Debug, Default)]
pub(super) struct Load {
    /// KV-cache capacity in tokens; zero if not declared.
    memory: u64,
    /// Cached prompt parts and their tokens, least recently used first.
    cached: IndexMap<u64, u32>,
    cached_tokens: u64,
    /// Tokens granted and not yet prefilled.
    pending: u64,
    /// KV-cache tokens of the running requests.
    used: u64,
    /// Sum of the pause sensitivities of the running requests.
    sensitivity: f64,
    /// Recent prefill that delays streams, in weighted tokens, as of `interference_at`.
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

    /// Whether the runner has memory for the request and can prefill it soon.
    pub(super) fn has_room(&self, work: &Work<'_>) -> bool {
        if self.pending == 0 && self.used == 0 {
            return true;
        }
        let size = work.length() + u64::from(work.output);
        let room = as_f64(self.memory()) * MAX_MEMORY_SHARE;
        self.pending < MAX_PENDING_TOKENS && as_f64(self.used + size) <= room
    }

    /// Cost of the work on this runner, in tokens to prefill.
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

    /// Records the start of the work.
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

    /// Records the end of the work.
    pub(super) fn end(&mut self, mut usage: Usage) {
        self.finish_prefill(&mut usage);
        self.used = self.used.saturating_sub(usage.size);
        self.sensitivity = (self.sensitivity - usage.pause_sensitivity).max(0.0);
    }

    /// Whether a prompt was granted and is not prefilled yet.
    pub(super) fn is_prefilling(&self) -> bool {
        self.pending > 0
    }

    /// KV-cache tokens of the running requests.
    pub(super) fn used(&self) -> u64 {
        self.used
    }

    pub(super) fn memory(&self) -> u64 {
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

    /// Makes a part the most recently used, caching it if needed.
    fn cache_part(&mut self, part: Part) {
        if let Some(place) = self.cached.get_index_of(&part.id) {
            self.cached.move_index(place, self.cached.len() - 1);
            return;
        }
        self.cached.insert(part.id, part.tokens);
        self.cached_tokens += u64::from(part.tokens);
    }

    /// Evicts the least recently used parts until the rest fits.
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
