//! Who runs next, measured: the same seeded arrivals through every daemon for
//! itself and through slot grants, on a small model of ten batching runners.
//!
//! `cargo bench -p citron-policy --bench slots [-- SEED]` prints one JSON line
//! for each case. The desks and arbiters are the policy's own; only runners and
//! messages are modelled.

#[path = "slots/arrivals.rs"]
mod arrivals;
#[path = "slots/engine.rs"]
mod engine;
#[path = "slots/model.rs"]
mod model;
#[path = "slots/report.rs"]
mod report;

use std::time::Duration;

use arrivals::{Offer, RUNNERS, SLOTS, arrivals, catalogue};
use model::{Model, Trouble, Way};
use report::report;

/// Arrivals last this long.
const TIME: Duration = Duration::from_mins(3);

/// Requests sent before this are left out: the runners still fill.
const WARM_UP: Duration = Duration::from_secs(15);

/// Entry instances.
const DAEMONS: usize = 11;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seed = arguments.find_map(|it| it.parse().ok()).unwrap_or(1);
    for (load, burst, trouble) in [
        (0.7, 1.0, Trouble::None),
        (1.0, 1.0, Trouble::None),
        (2.0, 1.0, Trouble::None),
        (3.0, 1.0, Trouble::None),
        (0.7, 8.0, Trouble::None),
        (0.7, 1.0, Trouble::Straggler),
        (0.7, 1.0, Trouble::Crash),
        (2.0, 1.0, Trouble::Crash),
        (1.0, 1.0, Trouble::ArbiterLost),
    ] {
        for way in [Way::Alone, Way::Slots] {
            if way == Way::Alone && trouble == Trouble::ArbiterLost {
                continue;
            }
            let offer = Offer {
                seed,
                load,
                burst,
                time: TIME,
                daemons: DAEMONS,
            };
            run(way, trouble, &offer);
        }
    }
}

fn capacity() -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a few runners")]
    let runners = RUNNERS as f64;
    engine::tokens_per_second(SLOTS) * runners
}

fn run(way: Way, trouble: Trouble, offer: &Offer) {
    let arrivals = arrivals(offer, capacity());
    let mut model = Model::new(way, trouble, TIME, DAEMONS, catalogue(), arrivals);
    model.run();
    println!("{}", report(way, trouble, offer, &model));
}
