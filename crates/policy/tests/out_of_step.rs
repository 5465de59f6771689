//! Streams that are taken up where their beginning was not heard of: at a daemon that was
//! out of step with the others, or after the daemons that heard of it were lost.
//!
//! The targets: no stream has events of two builds, and of the streams that are taken up
//! at least half as many go on as new ones begin.

mod slots;
#[path = "slots/streams.rs"]
mod streams;

use std::time::Duration;

use citron_policy::{
    arbiter::{self, Arbiter, Ask, Refusal},
    id::BuildId,
    requester::{self, Requester},
    stream::{self, Group, Origin},
};
use googletest::prelude::*;
use slots::{Daemons, Message, Outcome, catalogue, done, name};
use streams::{
    Answer, LIFE, begin, builds, daemons, is_unknown, request, runners_of, stream_ask, take_up,
};

/// Longest wait of a stream that nobody knows: refusing it late harms its caller.
const REFUSED_WITHIN: Duration = Duration::from_millis(400);

/// A daemon that is out of step, with the arbiter that it hosts.
struct Aside {
    daemon: usize,
    requester: Option<Requester>,
    arbiter: Option<Arbiter>,
}

/// Takes a daemon out of touch with the others, which notice that.
fn set_aside(daemons: &mut Daemons, daemon: usize) -> Aside {
    let requester = daemons.requesters[daemon].take();
    let arbiter = daemons.arbiters.swap_remove(&daemon);
    daemons.announce_live();
    Aside {
        daemon,
        requester,
        arbiter,
    }
}

/// Brings it back with all that it knew; neither it nor the others have noticed yet.
fn bring_back(daemons: &mut Daemons, aside: Aside) {
    daemons.requesters[aside.daemon] = aside.requester;
    if let Some(arbiter) = aside.arbiter {
        daemons.arbiters.insert(aside.daemon, arbiter);
    }
}

fn is_mixed(answer: &Answer, build: &BuildId) -> bool {
    matches!(answer, Answer::Build(it) if it != build)
}

fn mixed(answers: &[Answer], begun: &[(u64, BuildId)]) -> usize {
    let pairs = answers.iter().zip(begun);
    pairs
        .filter(|(answer, (_, it))| is_mixed(answer, it))
        .count()
}

fn gone_on(answers: &[Answer]) -> usize {
    let gone_on = answers.iter().filter(|it| matches!(it, Answer::Build(_)));
    gone_on.count()
}

/// Its list is younger than 3 s and lacks the new build, and all daemons told it what they
/// knew when it started.
#[gtest]
fn an_arbiter_that_stood_still_mixes_no_stream_that_began_meanwhile() {
    for pause in [500, 1_000, 2_000, 2_400, 2_900, 3_400] {
        let mut daemons = daemons(3, &["v1"]);
        begin(&mut daemons, 1, 1..4);
        let aside = set_aside(&mut daemons, 0);
        daemons.set_runners(runners_of(&["v1", "v2"], 8));
        let begun = begin(&mut daemons, 2, 10..30);
        let begun: Vec<_> = begun.into_iter().filter(|it| it.1 == "v2").collect();
        assert!(begun.len() >= 6, "{begun:?}");
        daemons.run(Duration::from_millis(pause));
        let list = daemons.runners.clone();
        daemons.runners = runners_of(&["v1"], 4);
        bring_back(&mut daemons, aside);
        let first = take_up(&mut daemons, 0, &begun[..3]);
        daemons.set_runners(list);
        expect_that!(mixed(&first, &begun), eq(0), "{pause} ms: {first:?}");
        let is_gone = |it: &Answer| matches!(it, Answer::Refused(Refusal::NoBuild { .. }));
        expect_that!(
            first.iter().any(is_gone),
            eq(false),
            "{pause} ms: {first:?}"
        );
        // With the new list it can serve them.
        let rest = take_up(&mut daemons, 0, &begun[3..]);
        expect_that!(rest, eq(&builds(&begun[3..])), "{pause} ms");
    }
}

/// It can ask nobody but itself, so all whom it can ask have told it all they know.
#[gtest]
fn an_arbiter_that_reaches_no_other_daemon_mixes_no_stream() {
    let mut daemons = daemons(5, &["v1"]);
    begin(&mut daemons, 4, 1..4);
    let list = std::mem::replace(&mut daemons.runners, runners_of(&["v1", "v2"], 8));
    daemons.set_runners(daemons.runners.clone());
    let begun = begin(&mut daemons, 1, 10..30);
    let begun: Vec<_> = begun.into_iter().filter(|it| it.1 == "v2").collect();
    assert!(begun.len() >= 3, "{begun:?}");
    daemons.runners = list;
    let others: Vec<Aside> = (0..4).map(|it| set_aside(&mut daemons, it)).collect();
    let answers = take_up(&mut daemons, 4, &begun);
    expect_that!(mixed(&answers, &begun), eq(0), "{answers:?}");
    for aside in others {
        bring_back(&mut daemons, aside);
    }
    daemons.announce_live();
    daemons.set_runners(runners_of(&["v1", "v2"], 8));
    expect_that!(take_up(&mut daemons, 4, &begun), eq(&builds(&begun)));
}

/// The daemons that served them are lost too: they are the ones that callers take up.
fn check_loss(count: usize, lost: &[usize], listed: &[&str]) {
    let mut daemons = Daemons::new(count, catalogue(64, |_| {}), runners_of(listed, 4));
    let mut begun = Vec::new();
    for round in 0..3 {
        for daemon in 0..count {
            let first = (round * count + daemon) as u64 * 10 + 1;
            let streams = begin(&mut daemons, daemon, first..first + 2);
            begun.extend(streams.into_iter().filter(|_| lost.contains(&daemon)));
        }
        daemons.run(Duration::from_millis(100));
    }
    for daemon in lost {
        daemons.kill(*daemon);
    }
    daemons.announce_live();
    let at = (0..count).find(|it| !lost.contains(it)).expect("a daemon");
    let answers = take_up(&mut daemons, at, &begun);
    expect_that!(mixed(&answers, &begun), eq(0), "{lost:?}");
    let new = (0..20).filter(|it| {
        let ask = stream_ask(9_000 + it, 9_000 + it, Origin::New);
        matches!(request(&mut daemons, at, ask), Answer::Build(_))
    });
    let new = new.count();
    expect_that!(
        2 * gone_on(&answers) * 20,
        ge(answers.len() * new),
        "{lost:?}: {} of {}, {new} of 20",
        gone_on(&answers),
        answers.len()
    );
}

#[gtest]
fn streams_go_on_though_a_third_is_lost_with_the_arbiter() {
    for builds in [&["v1"][..], &["v1", "v2"][..]] {
        for first in 1..9 {
            for second in first + 1..9 {
                check_loss(9, &[0, first, second], builds);
            }
        }
        for first in 1..12 {
            for second in first + 1..12 {
                for third in second + 1..12 {
                    check_loss(12, &[0, first, second, third], builds);
                }
            }
        }
    }
}

/// The daemon that was told of them is no arbiter any more, and still there.
#[gtest]
fn streams_go_on_though_only_a_former_arbiter_heard_of_them() {
    let mut daemons = daemons(5, &["v1", "v2"]);
    let begun = begin(&mut daemons, 1, 1..8);
    let others = [2, 3, 4, 0].map(name);
    for daemon in 2..5 {
        daemons.set_ranks(daemon, &others);
    }
    let unknown = stream_ask(500, 500, Origin::New);
    request(&mut daemons, 3, unknown);
    expect_that!(take_up(&mut daemons, 4, &begun), eq(&builds(&begun)));
}

/// What one daemon does not answer may be what is asked for, but a caller does not wait.
#[gtest]
fn a_stream_that_nobody_knows_is_refused_soon_though_a_daemon_is_silent() {
    let mut daemons = daemons(4, &["v1"]);
    begin(&mut daemons, 1, 1..2);
    daemons.kill(3);
    let asked_at = daemons.now;
    let answers = take_up(&mut daemons, 1, &[(77, String::new())]);
    expect_that!(answers.iter().all(is_unknown), eq(true), "{answers:?}");
    expect_that!(daemons.now - asked_at, le(REFUSED_WITHIN));
}

/// The arbiter's process stood still while the answers were on their way.
#[gtest]
fn a_search_is_not_over_before_its_answers_are_read() {
    let mut daemons = daemons(5, &["v1", "v2"]);
    begin(&mut daemons, 1, 1..2);
    let known = Group {
        build: "v2".to_owned(),
        streams: vec![(77, LIFE)],
    };
    let copy = requester::Event::Reply {
        from: name(0),
        epoch: 1,
        reply: arbiter::Reply::Streams(vec![known]),
    };
    daemons.requester_event(2, copy);
    daemons.acquire(3, stream_ask(900, 77, Origin::Unknown));
    let mut unread = Vec::new();
    while let Some(message) = daemons.in_flight.pop_front() {
        match &message {
            Message::Asked { to: 0, asked, .. }
                if matches!(asked.request, arbiter::Request::Found(..)) =>
            {
                unread.push(message);
            }
            _ => daemons.deliver(message),
        }
    }
    daemons.now += Duration::from_secs(1);
    daemons.arbiter_event(0, arbiter::Event::Tick);
    daemons.in_flight.extend(unread);
    daemons.deliver_all();
    let outcomes = daemons.take_outcomes();
    let granted = |it: &Outcome| matches!(it, Outcome::Granted { ticket: 900, .. });
    expect_that!(outcomes.iter().any(granted), eq(true), "{outcomes:?}");
}

/// Begins equal requests at a daemon until one is at this build, and ends them.
fn begin_equal(daemons: &mut Daemons, daemon: usize, first: u64, build: &str) {
    for id in first..first + 40 {
        let ask = Ask {
            fingerprint: 99,
            ..stream_ask(id, id, Origin::New)
        };
        let answer = request(daemons, daemon, ask);
        if answer == Answer::Build(build.to_owned()) {
            daemons.requester_event(daemon, requester::Event::Begun(id));
            daemons.deliver_all();
            for id in first..=id {
                daemons.release(daemon, id, done());
            }
            daemons.deliver_all();
            return;
        }
        if id == 1 {
            // Only two copies run before one has completed.
            daemons.release(daemon, id, done());
            daemons.deliver_all();
        }
    }
    panic!("no runner of {build}");
}

fn take_up_unnamed(daemons: &mut Daemons, daemon: usize) -> Answer {
    let ask = stream_ask(500, stream::unnamed(99), Origin::Unknown);
    let ask = Ask {
        fingerprint: 99,
        ..ask
    };
    let answer = request(daemons, daemon, ask);
    daemons.release(daemon, 500, done());
    daemons.deliver_all();
    answer
}

/// Each daemon knows one of the two at most.
#[gtest]
fn a_daemon_that_knows_one_of_two_equal_requests_does_not_decide_on_it() {
    let mut daemons = daemons(12, &["v1", "v2"]);
    begin_equal(&mut daemons, 1, 1, "v1");
    daemons.run(Duration::from_millis(100));
    begin_equal(&mut daemons, 8, 100, "v2");
    daemons.run(Duration::from_millis(300));
    for daemon in 0..12 {
        let answer = take_up_unnamed(&mut daemons, daemon);
        expect_that!(is_unknown(&answer), eq(true), "daemon {daemon}: {answer:?}");
    }
}

#[gtest]
fn an_arbiter_that_stood_still_does_not_take_an_equal_request_for_the_stream() {
    let mut daemons = daemons(5, &["v1"]);
    begin_equal(&mut daemons, 1, 1, "v1");
    daemons.run(Duration::from_millis(300));
    let aside = set_aside(&mut daemons, 0);
    daemons.set_runners(runners_of(&["v1", "v2"], 8));
    begin_equal(&mut daemons, 2, 100, "v2");
    daemons.run(Duration::from_secs(1));
    bring_back(&mut daemons, aside);
    let answer = take_up_unnamed(&mut daemons, 0);
    expect_that!(is_unknown(&answer), eq(true), "{answer:?}");
}

/// All who heard of one of the two are lost in few of the choices only.
#[gtest]
fn equal_requests_at_two_builds_are_told_apart_though_a_third_is_lost() {
    let (mut choices, mut mixed) = (0, 0);
    for first in 1..12 {
        for second in first + 1..12 {
            for third in second + 1..12 {
                let mut daemons = daemons(12, &["v1", "v2"]);
                begin_equal(&mut daemons, 1, 1, "v1");
                daemons.run(Duration::from_millis(100));
                begin_equal(&mut daemons, 8, 100, "v2");
                daemons.run(Duration::from_millis(300));
                let lost = [0, first, second, third];
                for daemon in lost {
                    daemons.kill(daemon);
                }
                daemons.announce_live();
                let at = (0..12).find(|it| !lost.contains(it)).expect("a daemon");
                let answer = take_up_unnamed(&mut daemons, at);
                choices += 1;
                mixed += usize::from(matches!(answer, Answer::Build(_)));
            }
        }
    }
    // The daemon that served one may keep one of its copies too.
    expect_that!(mixed * 25, le(choices), "{mixed} of {choices}");
}
