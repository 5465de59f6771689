//! Where a prompt is read: what each runner keeps of it, and whom it delays.
//!
//! Load pattern: prompts of very different lengths share the runners with long
//! answers whose events must not pause. A runner reads prompts in chunks between
//! the tokens of everything else it runs, so one long prompt makes all streams
//! there late, while a part that the runner still keeps costs nothing to read
//! again. Placing by counts of requests spreads both evenly, which is the worst
//! case for either: every stream has a long prompt beside it, and every runner
//! reads every shared part.
//!
//! All costs are in tokens to read, so that they can be added up: what stands
//! before a request, what it must read itself, what its reading does to steady
//! streams there, and what the others' reading will do to it.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::message::Part;
use crate::catalogue::Class;

/// Memory of a runner for prompts and answers, in tokens, where none is declared.
const DEFAULT_MEMORY_TOKENS: u64 = 200_000;

/// Share of the memory that running requests may fill before none is added; the
/// rest is for answers that are longer than expected.
const FULL: f64 = 0.9;

/// Pause between two events while a runner reads one long prompt after another:
/// four steps of one chunk of 1,024 tokens at 40 tokens a millisecond, with the
/// attention to a context of some thousand tokens.
const READING_PAUSE: Duration = Duration::from_millis(150);

/// Length from which a prompt's chunks take longer than the shortest pauses
/// allow, since each attends to all before it.
const LONG_PROMPT_TOKENS: f64 = 8_000.0;

/// Weight of what must be read against what merely stands before: reading takes
/// the place of other reading, too.
const READ_WEIGHT: f64 = 6.0;

/// Time over which the reading of a runner is remembered.
const MEMORY: Duration = Duration::from_millis(1_500);

/// Reading that stands before a runner's requests, in tokens, over which it is
/// given no more; 1.2 s at 40 tokens a millisecond, the aim of long prompts less
/// what a first token takes.
const MAX_UNREAD_TOKENS: u64 = 49_152;

/// Cost of a runner at its limit of requests, in tokens: its steps take longer.
const CROWD_TOKENS: f64 = 3_000.0;

/// What a request asks of the runner that reads its prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work<'a> {
    pub(super) prompt: &'a [Part],
    /// Most tokens of the answer.
    pub(super) output: u32,
    /// How much a pause hurts its class, from zero to one.
    pub(super) steadiness: f64,
}

impl Work<'_> {
    /// Length of the whole prompt.
    fn length(&self) -> u64 {
        self.prompt.iter().map(|it| u64::from(it.tokens)).sum()
    }

    /// How much its reading makes others pause, from zero to one a token.
    fn severity(&self) -> f64 {
        let length = as_f64(self.length());
        (length / LONG_PROMPT_TOKENS).min(1.0).powi(2)
    }
}

/// How much a pause hurts a class, from zero to one.
pub(super) fn steadiness(class: &Class) -> f64 {
    let allowed = class.between_tokens.as_secs_f64().max(0.001);
    (READING_PAUSE.as_secs_f64() / allowed).min(1.0).powi(3)
}

/// What one running request takes of its runner.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Share {
    /// Tokens that it had to read; zero once its answer has begun.
    unread: u64,
    /// Tokens that stood before it at its grant, its own included.
    pub(super) ahead: u64,
    /// Whether its answer has begun.
    pub(super) begun: bool,
    /// Whether the time to its beginning tells of the runner.
    pub(super) timed: bool,
    /// Tokens of memory.
    size: u64,
    steadiness: f64,
}

/// What one runner keeps, reads and serves.
#[derive(Debug, Default)]
pub(super) struct Load {
    /// Memory in tokens; zero if not declared.
    memory: u64,
    /// Parts kept, least recently used first.
    kept: IndexMap<u64, u32>,
    kept_tokens: u64,
    /// Tokens granted and not read yet.
    unread: u64,
    /// Tokens of running requests.
    used: u64,
    /// Sum of the steadiness of what runs.
    steady: f64,
    /// Recent reading that makes others pause, in tokens, fading.
    pressure: f64,
    faded: Option<Instant>,
}

impl Load {
    pub(super) fn set_memory(&mut self, tokens: u32) {
        self.memory = tokens.into();
    }

    /// Forgets what was kept, since the runner has lost it.
    pub(super) fn forget(&mut self) {
        self.kept.clear();
        self.kept_tokens = 0;
        self.pressure = 0.0;
    }

    /// Whether the runner has room for the prompt, and time to read it soon.
    pub(super) fn has_room(&self, work: &Work<'_>) -> bool {
        if self.unread == 0 && self.used == 0 {
            return true;
        }
        let size = work.length() + u64::from(work.output);
        let room = as_f64(self.memory()) * FULL;
        self.unread < MAX_UNREAD_TOKENS && as_f64(self.used + size) <= room
    }

    /// Cost of the work here, in tokens to read.
    pub(super) fn cost(&self, now: Instant, work: &Work<'_>, crowd: f64) -> f64 {
        let to_read = as_f64(self.to_read(work.prompt));
        let own = as_f64(self.unread) + READ_WEIGHT * to_read;
        let paused = work.steadiness * self.pressure(now);
        let pausing = self.steady * to_read * work.severity();
        own + paused + pausing + crowd * CROWD_TOKENS
    }

    /// Tokens of a prompt that the runner would have to read: a part is kept to
    /// use only if all parts before it are.
    fn to_read(&self, prompt: &[Part]) -> u64 {
        let missing = prompt
            .iter()
            .skip_while(|it| self.kept.contains_key(&it.id));
        missing.map(|it| u64::from(it.tokens)).sum()
    }

    /// Notes that the work runs here.
    pub(super) fn begin(&mut self, now: Instant, work: &Work<'_>) -> Share {
        let unread = self.to_read(work.prompt);
        self.unread += unread;
        let size = work.length() + u64::from(work.output);
        self.used += size;
        self.steady += work.steadiness;
        self.pressure = self.pressure(now) + as_f64(unread) * work.severity();
        self.faded = Some(now);
        for part in work.prompt {
            self.keep(*part);
        }
        self.yield_parts();
        Share {
            unread,
            ahead: self.unread,
            begun: false,
            timed: true,
            size,
            steadiness: work.steadiness,
        }
    }

    /// Notes that the answer has begun, so that the prompt was read.
    pub(super) fn begun(&mut self, share: &mut Share) {
        share.begun = true;
        self.unread = self
            .unread
            .saturating_sub(std::mem::take(&mut share.unread));
    }

    /// Notes that the work is over.
    pub(super) fn end(&mut self, mut share: Share) {
        self.begun(&mut share);
        self.used = self.used.saturating_sub(share.size);
        self.steady = (self.steady - share.steadiness).max(0.0);
    }

    fn memory(&self) -> u64 {
        if self.memory == 0 {
            DEFAULT_MEMORY_TOKENS
        } else {
            self.memory
        }
    }

    fn pressure(&self, now: Instant) -> f64 {
        if self.pressure <= 0.0 {
            return 0.0;
        }
        let age = self
            .faded
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.pressure * (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }

    /// Makes a part the most recently used.
    fn keep(&mut self, part: Part) {
        if let Some(place) = self.kept.get_index_of(&part.id) {
            self.kept.move_index(place, self.kept.len() - 1);
            return;
        }
        self.kept.insert(part.id, part.tokens);
        self.kept_tokens += u64::from(part.tokens);
    }

    /// Lets the least recently used parts go that no longer fit.
    fn yield_parts(&mut self) {
        let memory = self.memory();
        while self.kept_tokens > memory {
            let Some((_, tokens)) = self.kept.shift_remove_index(0) else {
                return;
            };
            self.kept_tokens -= u64::from(tokens);
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
