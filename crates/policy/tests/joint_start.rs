//! A whole fleet that starts at once, and knows three addresses only.

mod net;

use std::time::Duration;

use citron_policy::platform::List;
use googletest::prelude::*;
use net::{Net, address};

/// Time within which a fleet must serve again after all of it was killed.
const BACK: Duration = Duration::from_secs(3);

/// For each daemon, how many it would send callers to, the fewest first.
fn known_to_take_work(net: &Net, count: usize) -> Vec<usize> {
    let all: Vec<usize> = (0..count).collect();
    let targets = |by: &usize| net.work_targets(&[*by], &all).len();
    let mut known: Vec<usize> = all.iter().map(targets).collect();
    known.sort_unstable();
    known
}

/// A fleet whose daemons know the first three of them as seeds.
fn start(count: usize, seed: u64) -> Net {
    let mut net = Net::new(1, seed);
    net.list = List::default();
    for number in 0..count {
        net.boot(number);
        let seeds = (0..3).map(address).collect();
        net.act(number, |swim, _, _| {
            swim.set_seeds(seeds);
            Vec::new()
        });
    }
    net
}

/// Callers met a sixth of 300 instances after a second, and not all after 40: the proofs of
/// all were told one after the other, ten in a datagram.
#[gtest]
fn a_fleet_that_starts_at_once_is_on_the_entry_lists_soon() {
    for count in [30, 100, 300] {
        let mut net = start(count, 7);
        net.run(BACK);
        let known = known_to_take_work(&net, count);
        let (least, median) = (known[0], known[count / 2]);
        println!("{count} daemons: {least} known at least, {median} in the median");
        expect_that!(least * 10, ge(count * 9), "of {count}");
        expect_that!(median, eq(count));
    }
}

/// Tables of a settled fleet must not be sent again and again.
#[gtest]
fn a_settled_fleet_sends_no_more_than_its_probes_and_news() {
    let count = 60;
    let mut net = start(count, 7);
    net.run(Duration::from_secs(30));
    let before = net.sent;
    net.run(Duration::from_secs(10));
    let each = (net.sent - before) / (10 * count as u64);
    expect_that!(each, le(8), "datagrams a second of each daemon");
}
