//! Measures the scheduling delay of the daemon's event loop.
//!
//! Callers, peers, membership and arbiters share one thread, so a long computation
//! of one of them delays all the others. A timer that fires late shows the delay,
//! and the CPU time used meanwhile shows the cause: close to the instance's whole
//! share means that the daemon was computing, close to none that the process was
//! suspended or not scheduled.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use prometheus_client::{
    metrics::histogram::{Histogram, exponential_buckets},
    registry::Registry,
};

use crate::clock;

/// Time between two measurements.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Delay that is logged: half of the time within which a request must be cancelled
/// after its caller has disconnected.
const WARN_THRESHOLD: Duration = Duration::from_millis(250);

/// Part of a new delay in the mean, as a divisor: five seconds of samples. With one second, a
/// slowed daemon got its callers back as soon as it had worked off its queue.
const MEAN_DIVISOR: u32 = 100;

/// Delays of the daemon's event loop.
#[derive(Clone, Debug)]
pub struct Metrics {
    delay: Histogram,
    /// Mean delay of late.
    mean: Rc<Cell<Duration>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            delay: Histogram::new(exponential_buckets(0.001, 2.0, 14)),
            mean: Rc::default(),
        }
    }
}

impl Metrics {
    /// Mean delay of late.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.mean.get()
    }

    fn observe(&self, delay: Duration) {
        self.delay.observe(delay.as_secs_f64());
        let mean = self.mean.get();
        self.mean
            .set((mean * (MEAN_DIVISOR - 1) + delay) / MEAN_DIVISOR);
    }

    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "citron_turn_late_seconds",
            "Delay of the daemon's thread in getting to what is due",
            self.delay.clone(),
        );
    }
}

/// Measures the delay; never returns.
pub async fn measure(metrics: Metrics) {
    loop {
        let (due, used) = (Instant::now() + SAMPLE_INTERVAL, clock::process_time());
        actix_rt::time::sleep(SAMPLE_INTERVAL).await;
        let delay = Instant::now().saturating_duration_since(due);
        metrics.observe(delay);
        if delay >= WARN_THRESHOLD {
            let used = clock::process_time().saturating_sub(used);
            log::warn!(
                event = "CP0114", late_ms = delay.as_millis(), cpu_ms = used.as_millis();
                "event loop delayed"
            );
        }
    }
}
