//! Request arrivals: a seeded Poisson process for each item.
//!
//! Arrivals are drawn at the peak rate and thinned to the current rate.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{Item, Settings};

/// The arrival of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Arrival {
    /// Time since the start.
    pub at: Duration,
    /// Index of its item.
    pub item: usize,
    /// Sequence number over all items.
    pub number: usize,
}

/// Requests in the order of their arrival.
#[derive(Debug)]
pub(super) struct Arrivals {
    rng: StdRng,
    items: Vec<Item>,
    total_rate: f64,
    end: Duration,
    at: f64,
    number: usize,
}

impl Arrivals {
    pub(super) fn new(settings: &Settings) -> Self {
        // Peak rate of each item; `next` rejects arrivals above the current rate.
        let peak = settings
            .items
            .iter()
            .map(|item| item.share * peak_factor(item));
        Self {
            rng: StdRng::seed_from_u64(settings.seed),
            items: settings.items.clone(),
            total_rate: settings.rate * peak.sum::<f64>(),
            end: settings.duration,
            at: 0.0,
            number: 0,
        }
    }

    /// Draws the item of one arrival at the peak rate.
    fn draw(&mut self) -> usize {
        let total: f64 = self
            .items
            .iter()
            .map(|item| item.share * peak_factor(item))
            .sum();
        let mut drawn = self.rng.random::<f64>() * total;
        for (index, item) in self.items.iter().enumerate() {
            drawn -= item.share * peak_factor(item);
            if drawn < 0.0 {
                return index;
            }
        }
        self.items.len() - 1
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            let unit = 1.0 - self.rng.random::<f64>();
            self.at -= unit.ln() / self.total_rate;
            if !self.at.is_finite() || self.at >= self.end.as_secs_f64() {
                return None;
            }
            let at = Duration::from_secs_f64(self.at);
            let item = self.draw();
            let acceptance = factor_at(&self.items[item], at) / peak_factor(&self.items[item]);
            if self.rng.random::<f64>() < acceptance {
                let number = self.number;
                self.number += 1;
                return Some(Arrival { at, item, number });
            }
        }
    }
}

fn peak_factor(item: &Item) -> f64 {
    item.bursts
        .iter()
        .fold(1.0, |max, window| f64::max(max, window.factor))
}

fn factor_at(item: &Item, at: Duration) -> f64 {
    let ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
    let window = item
        .bursts
        .iter()
        .find(|window| (window.from_ms..window.to_ms).contains(&ms));
    window.map_or(1.0, |window| window.factor)
}
