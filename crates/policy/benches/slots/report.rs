//! Report of one run: target attainment, goodput, wasted work and waiting times.

use std::time::Duration;

use citron_policy::catalogue::Class;
use serde_json::{Value, json};

use crate::{
    RUN_TIME, WARM_UP,
    arrivals::{Arrival, CLASSES, Offer, catalogue},
    capacity,
    model::{Disruption, Model, Request, Strategy},
};

/// Time after the start of the disruption by which attainment should have recovered.
const RECOVERY: Duration = Duration::from_secs(10);

/// Totals over the requests of one class.
#[derive(Debug, Default)]
struct Sums {
    offered: f64,
    met: f64,
    served: u32,
    /// Requests offered and met after the recovery time.
    recovered: [f64; 2],
    longest_wait: Duration,
    latest_shed: Duration,
    offered_tokens: f64,
    useful_tokens: f64,
    received_tokens: f64,
}

impl Sums {
    fn add(&mut self, class: &Class, arrival: &Arrival, request: &Request) {
        let tokens = f64::from(arrival.tokens);
        self.offered += 1.0;
        self.offered_tokens += tokens;
        self.received_tokens += f64::from(request.done);
        let good = meets(class, arrival, request);
        let one = f64::from(u8::from(good));
        self.met += one;
        self.useful_tokens += one * tokens;
        if arrival.at > RUN_TIME / 3 + RECOVERY {
            self.recovered[0] += 1.0;
            self.recovered[1] += one;
        }
        if let Some(granted) = request.granted {
            self.served += 1;
            let wait = granted.saturating_sub(request.sent);
            self.longest_wait = self.longest_wait.max(wait);
        }
        if let Some(after) = request.refused_after {
            self.latest_shed = self.latest_shed.max(after);
        }
    }

    fn value(&self) -> Value {
        json!({
            "offered": self.offered,
            "attainment": rounded(self.met / self.offered.max(1.0)),
            "after_10s": rounded(self.recovered[1] / self.recovered[0].max(1.0)),
            "served": self.served,
            "longest_wait_s": rounded(self.longest_wait.as_secs_f64()),
            "latest_shed_s": rounded(self.latest_shed.as_secs_f64()),
        })
    }
}

/// Whether a response met the targets of its class.
fn meets(class: &Class, arrival: &Arrival, request: &Request) -> bool {
    let Some((first, last)) = request.first.zip(request.last) else {
        return false;
    };
    let gaps = arrival.tokens.saturating_sub(1).max(1);
    let between = last.saturating_sub(first) / gaps;
    first.saturating_sub(request.sent) <= class.first_token && between <= class.between_tokens
}

/// Report as one JSON line; wasted work is given as a fraction of the tokens received.
pub fn report(strategy: Strategy, disruption: Disruption, offer: &Offer, model: &Model) -> Value {
    let catalogue = catalogue();
    let sums: Vec<Sums> = CLASSES
        .iter()
        .enumerate()
        .map(|(number, (name, ..))| {
            let mut sums = Sums::default();
            let all = model.arrivals.iter().zip(&model.requests);
            for (arrival, request) in all.filter(|(it, _)| it.class == number && it.at >= WARM_UP) {
                sums.add(&catalogue.classes[*name], arrival, request);
            }
            sums
        })
        .collect();
    let offered: f64 = sums.iter().map(|it| it.offered_tokens).sum();
    let useful: f64 = sums.iter().map(|it| it.useful_tokens).sum();
    let received: f64 = sums.iter().map(|it| it.received_tokens).sum();
    let max_tokens = capacity() * RUN_TIME.saturating_sub(WARM_UP).as_secs_f64();
    let waste = &model.waste;
    let share = |tokens: f64| rounded(tokens / received.max(1.0));
    let classes: serde_json::Map<String, Value> = CLASSES
        .iter()
        .zip(&sums)
        .map(|((name, ..), sums)| ((*name).to_owned(), sums.value()))
        .collect();
    json!({
        "way": format!("{strategy:?}"),
        "load": offer.load,
        "burst": offer.burst,
        "trouble": format!("{disruption:?}"),
        "seed": offer.seed,
        "classes": classes,
        "goodput": rounded(useful / offered.min(max_tokens)),
        "wasted": share(waste.sum()),
        "abandoned": share(waste.abandoned),
        "preempted": share(waste.preempted),
        "moved": share(waste.moved),
        "crashed": share(waste.crashed),
        "preemptions": model.preemptions,
        "floor_grants": model.floor_grants,
        "turns": model.transitions.len(),
    })
}

fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
