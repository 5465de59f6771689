//! How late the daemon's thread gets to what is due.
//!
//! Callers, peers, membership and arbiters share one thread, so a long
//! computation of one of them delays all the others. A timer that fires late
//! shows the delay, and the processor time spent meanwhile tells its cause: all
//! of the instance's share means that the daemon computed, hardly any that the
//! process stood still.

use std::time::{Duration, Instant};

use prometheus_client::{
    metrics::histogram::{Histogram, exponential_buckets},
    registry::Registry,
};

use crate::clock;

/// Time between two looks.
const INTERVAL: Duration = Duration::from_millis(50);

/// Delay that is worth a line: half of the time within which a request whose
/// caller has left must be stopped.
const LONG: Duration = Duration::from_millis(250);

/// Delays of the daemon's thread.
#[derive(Clone, Debug)]
pub struct Metrics {
    late: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            late: Histogram::new(exponential_buckets(0.001, 2.0, 14)),
        }
    }
}

impl Metrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "citron_turn_late_seconds",
            "Delay of the daemon's thread in getting to what is due",
            self.late.clone(),
        );
    }
}

/// Measures for ever.
pub async fn measure(metrics: Metrics) {
    loop {
        let (due, used) = (Instant::now() + INTERVAL, clock::process_time());
        actix_rt::time::sleep(INTERVAL).await;
        let late = Instant::now().saturating_duration_since(due);
        metrics.late.observe(late.as_secs_f64());
        if late >= LONG {
            let used = clock::process_time().saturating_sub(used);
            log::warn!(
                event = "CP0114", late_ms = late.as_millis(), cpu_ms = used.as_millis();
                "the thread got late to what was due"
            );
        }
    }
}
