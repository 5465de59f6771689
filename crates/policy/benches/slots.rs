//! Compares scheduling by slot grants with independent load balancing per daemon.
//!
//! Both get the same seeded arrivals, on a simulation of ten batching runners.
//! `cargo bench -p citron-policy --bench slots [-- SEED]` prints one JSON line
//! for each case. The requesters and arbiters are the real ones; only runners and
//! messages are simulated.

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
use model::{Disruption, Model, Strategy};
use report::report;

/// Duration of the arrivals.
const RUN_TIME: Duration = Duration::from_mins(3);

/// Requests sent before this time are not reported, as the runners are still filling.
const WARM_UP: Duration = Duration::from_secs(15);

/// Number of instances.
const DAEMONS: usize = 11;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seed = arguments.find_map(|it| it.parse().ok()).unwrap_or(1);
    for (load, burst, disruption) in [
        (0.7, 1.0, Disruption::None),
        (1.0, 1.0, Disruption::None),
        (2.0, 1.0, Disruption::None),
        (3.0, 1.0, Disruption::None),
        (0.7, 8.0, Disruption::None),
        (0.7, 1.0, Disruption::Straggler),
        (0.7, 1.0, Disruption::Crash),
        (2.0, 1.0, Disruption::Crash),
        (1.0, 1.0, Disruption::ArbiterLost),
    ] {
        for strategy in [Strategy::Alone, Strategy::Slots] {
            if strategy == Strategy::Alone && disruption == Disruption::ArbiterLost {
                continue;
            }
            let offer = Offer {
                seed,
                load,
                burst,
                time: RUN_TIME,
                daemons: DAEMONS,
            };
            run(strategy, disruption, &offer);
        }
    }
}

fn capacity() -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a few runners")]
    let runners = RUNNERS as f64;
    engine::tokens_per_second(SLOTS) * runners
}

fn run(strategy: Strategy, disruption: Disruption, offer: &Offer) {
    let arrivals = arrivals(offer, capacity());
    let mut model = Model::new(
        strategy,
        disruption,
        RUN_TIME,
        DAEMONS,
        catalogue(),
        arrivals,
    );
    model.run();
    println!("{}", report(strategy, disruption, offer, &model));
}
