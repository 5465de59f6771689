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

use std::time::Duration;

use arrivals::{CLASSES, Offer, RUNNERS, SLOTS, arrivals, catalogue};
use model::{Model, Trouble, Way};

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
    let catalogue = catalogue();
    let mut line = format!(
        "{{\"way\":\"{way:?}\",\"load\":{},\"burst\":{},\"trouble\":\"{trouble:?}\",\"seed\":{}",
        offer.load, offer.burst, offer.seed
    );
    let mut useful = 0.0;
    let mut offered_tokens = 0.0;
    let mut received = 0.0;
    for (class, (name, ..)) in CLASSES.iter().enumerate() {
        let declared = &catalogue.classes[*name];
        let mut offered = 0.0_f64;
        let mut met = 0.0_f64;
        let mut served = 0_u32;
        let mut longest = Duration::ZERO;
        let mut late_notice = Duration::ZERO;
        let mut after_trouble = [0.0_f64; 2];
        for (arrival, request) in model.arrivals.iter().zip(&model.requests) {
            if arrival.class != class || arrival.at < WARM_UP {
                continue;
            }
            offered += 1.0;
            offered_tokens += f64::from(arrival.tokens);
            received += f64::from(request.done);
            let first = request.first.map(|it| it - request.sent);
            let between = request
                .first
                .zip(request.last)
                .map(|(first, last)| (last - first) / arrival.tokens.saturating_sub(1).max(1));
            let good = first.is_some_and(|it| it <= declared.first_token)
                && between.is_some_and(|it| it <= declared.between_tokens);
            if arrival.at > TIME / 3 + Duration::from_secs(10) {
                after_trouble[0] += 1.0;
                after_trouble[1] += f64::from(u8::from(good));
            }
            if good {
                met += 1.0;
                useful += f64::from(arrival.tokens);
            }
            if let Some(granted) = request.granted {
                served += 1;
                longest = longest.max(granted - request.sent);
            }
            if let Some(after) = request.refused_after {
                late_notice = late_notice.max(after);
            }
        }
        line += &format!(
            ",\"{name}\":{{\"offered\":{offered},\"attainment\":{:.4},\"after_10s\":{:.4},\"served\":{served},\"longest_wait_s\":{:.2},\"latest_shed_s\":{:.2}}}",
            met / offered.max(1.0),
            after_trouble[1] / after_trouble[0].max(1.0),
            longest.as_secs_f64(),
            late_notice.as_secs_f64()
        );
    }
    let ideal = offered_tokens.min(capacity() * (TIME - WARM_UP).as_secs_f64());
    let waste = &model.waste;
    line += &format!(
        ",\"goodput\":{:.4},\"wasted\":{:.4},\"abandoned\":{:.4},\"preempted\":{:.4},\"moved\":{:.4},\"crashed\":{:.4},\"preemptions\":{},\"floor_grants\":{},\"turns\":{}}}",
        useful / ideal,
        waste.sum() / received.max(1.0),
        waste.abandoned / received.max(1.0),
        waste.preempted / received.max(1.0),
        waste.moved / received.max(1.0),
        waste.crashed / received.max(1.0),
        model.preemptions,
        model.floor_grants,
        model.turns.len()
    );
    println!("{line}");
    if std::env::var_os("CITRON_BENCH_TURNS").is_some() {
        for (at, turn) in &model.turns {
            eprintln!("{:8.2} {turn:?}", at.as_secs_f64());
        }
    }
}
