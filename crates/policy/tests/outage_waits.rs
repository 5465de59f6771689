//! An outage of all runners: nobody waits for one that does not answer.

mod slots;

use std::time::{Duration, Instant};

use citron_policy::arbiter::End;
use googletest::prelude::*;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use slots::{Daemons, Outcome, ask, catalogue, runners, sample};

/// Time between two steps of the model.
const STEP: Duration = Duration::from_millis(7);

/// Time for which the runners serve before they break.
const CALM: Duration = Duration::from_secs(1);

/// How long requests are sent.
const SENDING: Duration = Duration::from_secs(12);

/// Time after which a runner closes the connection of a request.
const WORK: Duration = Duration::from_millis(10);

/// Longest wait for a slot or a refusal that callers are promised: 250 ms for the arbiter's
/// word and as much for a lost message.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Longest wait of a request that is sent in each step while all runners break, in a play.
fn longest_wait(seed: u64, fingerprints: u64) -> Duration {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut daemons = Daemons::new(3, catalogue(4, |_| {}), runners(2));
    let begun = daemons.now;
    let mut waiting: IndexMap<u64, Instant> = IndexMap::new();
    let mut running: Vec<(Instant, usize, u64)> = Vec::new();
    let mut longest = Duration::ZERO;
    let mut next = 0;
    while daemons.now < begun + SENDING || !(waiting.is_empty() && running.is_empty()) {
        if daemons.now < begun + SENDING {
            let mut it = ask(next, "c1", "a");
            it.fingerprint = 100 + next % fingerprints;
            it.remaining = Duration::from_secs(20);
            daemons.acquire(random.random_range(0..3), it);
            waiting.insert(next, daemons.now);
            next += 1;
        }
        daemons.deliver_all();
        for outcome in daemons.take_outcomes() {
            let ticket = match outcome {
                Outcome::Granted { daemon, ticket, .. } => {
                    running.push((daemons.now + WORK, daemon, ticket));
                    ticket
                }
                Outcome::Refused { ticket, .. } | Outcome::Preempted { ticket, .. } => ticket,
            };
            if let Some(since) = waiting.swap_remove(&ticket) {
                longest = longest.max(daemons.now - since);
            }
        }
        daemons.now += STEP;
        let now = daemons.now;
        let due: Vec<_> = running.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, daemon, ticket) in due {
            let end = if now < begun + CALM {
                End::Done
            } else {
                End::Broken
            };
            daemons.release(daemon, ticket, sample(end, WORK));
        }
        daemons.commit_marks();
        daemons.tick();
        daemons.deliver_all();
    }
    longest
}

// A request that came in as a probe was due, and did not become it, waited for one probe after
// the other up to its deadline, while all others were refused at once.
#[gtest]
fn no_request_waits_for_probes_while_all_runners_are_out_of_use() {
    for fingerprints in [1, 3, 1_000_000] {
        for seed in 0..20 {
            let longest = longest_wait(seed, fingerprints);
            expect_that!(longest, le(MAX_WAIT), "seed {seed}, {fingerprints} kinds");
        }
    }
}
