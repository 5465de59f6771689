//! A stream goes on at the build that began it, through whichever daemon, whatever was
//! lost meanwhile, or is refused at once.
//!
//! The targets: no stream has events of two builds, and of the streams that are taken up
//! at least half as many go on as new ones begin.

mod slots;
#[path = "slots/streams.rs"]
mod streams;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use citron_policy::{
    arbiter::{self, Ask, End, Refusal},
    id::{BuildId, StreamId},
    platform::Standing,
    requester,
    stream::{self, NO_STREAM, Origin, Records, Stream},
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use slots::{Daemons, Message, Outcome, ask, catalogue, done, sample};
use streams::{
    Answer, LIFE, SOON, begin, build_of, builds, daemons, is_unknown, lose, request, runners_of,
    stream_ask, take_up,
};

#[gtest]
fn a_stream_goes_on_at_its_build_through_another_daemon() {
    let mut daemons = daemons(3, &["v1", "v2"]);
    let begun = begin(&mut daemons, 1, 1..20);
    expect_that!(take_up(&mut daemons, 2, &begun), eq(&builds(&begun)));
}

#[gtest]
fn a_stream_goes_on_at_its_build_though_the_arbiter_is_lost() {
    let mut daemons = daemons(3, &["v1", "v2"]);
    let begun = begin(&mut daemons, 1, 1..20);
    lose(&mut daemons, 0);
    expect_that!(take_up(&mut daemons, 2, &begun), eq(&builds(&begun)));
}

/// The daemon that served the stream is asked, and its word need not reach the arbiter first.
#[gtest]
fn a_stream_goes_on_at_the_daemon_that_served_it_though_the_arbiter_does_not_know_it() {
    let mut daemons = daemons(5, &["v1", "v2"]);
    let begun = begin(&mut daemons, 1, 1..8);
    daemons.kill(0);
    daemons.announce_live();
    for (id, build) in &begun {
        daemons.acquire(1, stream_ask(100 + id, *id, Origin::Unknown));
        let end = daemons.now + SOON;
        while daemons.now < end {
            daemons.now += Duration::from_millis(50);
            daemons.tick();
            while let Some(message) = daemons.in_flight.pop_front() {
                let inventory = matches!(
                    &message,
                    slots::Message::Asked { asked, .. }
                        if matches!(asked.request, arbiter::Request::Inventory(_))
                );
                if !inventory {
                    daemons.deliver(message);
                }
            }
        }
        let granted = daemons.take_outcomes().into_iter().find_map(|it| match it {
            Outcome::Granted { runner, .. } => Some(build_of(&daemons, &runner)),
            _ => None,
        });
        expect_that!(granted, some(eq(build)));
        daemons.release(1, 100 + id, done());
    }
}

/// Begins a stream at a daemon while the messages to and from another one are late;
/// returns its build, and these messages.
fn begin_beside(
    daemons: &mut Daemons,
    daemon: usize,
    id: StreamId,
    late: usize,
) -> (BuildId, Vec<Message>) {
    daemons.acquire(daemon, stream_ask(id, id, Origin::New));
    let (mut held_up, end) = (Vec::new(), daemons.now + LIFE);
    while daemons.now < end {
        daemons.now += Duration::from_millis(50);
        daemons.tick();
        while let Some(message) = daemons.in_flight.pop_front() {
            match message {
                Message::Asked { to: it, .. } | Message::Reply { from: it, .. } if it == late => {
                    held_up.push(message);
                }
                _ => daemons.deliver(message),
            }
        }
        let granted = daemons.take_outcomes().into_iter().find_map(|it| match it {
            Outcome::Granted { runner, .. } => Some(build_of(daemons, &runner)),
            _ => None,
        });
        if let Some(build) = granted {
            daemons.requester_event(daemon, requester::Event::Begun(id));
            return (build, held_up);
        }
    }
    panic!("stream {id} does not begin");
}

/// The arbiter was stopped as it was asked: it grants a slot that nobody waits for.
#[gtest]
fn a_stream_goes_on_at_its_build_though_another_was_granted_too_late() {
    for daemon in 1..4 {
        let mut daemons = daemons(4, &["v1", "v2"]);
        begin(&mut daemons, 1, 1..2);
        let mut only_v1 = daemons.runners.clone();
        let of_v2 = only_v1.iter_mut().filter(|it| it.build == "v2");
        of_v2.for_each(|it| it.standing = Standing::Leaving);
        let mut only_v2 = daemons.runners.clone();
        let of_v1 = only_v2.iter_mut().filter(|it| it.build == "v1");
        of_v1.for_each(|it| it.standing = Standing::Leaving);
        let all = std::mem::replace(&mut daemons.runners, only_v1);
        let (build, late) = begin_beside(&mut daemons, 1, 100, 0);
        expect_that!(build, eq("v1"));
        daemons.arbiter_event(0, arbiter::Event::Runners(only_v2));
        daemons.in_flight.extend(late);
        daemons.deliver_all();
        daemons.set_runners(all);
        daemons.run(Duration::from_millis(200));
        let answer = take_up(&mut daemons, daemon, &[(100, build.clone())]).remove(0);
        let goes_on = answer == Answer::Build(build);
        // Others may not have heard of it.
        let is_refused = daemon != 1 && is_unknown(&answer);
        expect_that!(goes_on || is_refused, eq(true), "{daemon}: {answer:?}");
    }
}

/// The arbiter's host served the streams too, so nobody else had a part in them.
#[gtest]
fn a_stream_goes_on_at_its_build_though_arbiter_and_daemon_are_lost() {
    let mut daemons = daemons(4, &["v1", "v2"]);
    let begun = begin(&mut daemons, 0, 1..20);
    daemons.run(Duration::from_millis(200));
    lose(&mut daemons, 0);
    expect_that!(take_up(&mut daemons, 3, &begun), eq(&builds(&begun)));
}

#[gtest]
fn a_stream_older_than_the_second_build_goes_on_though_arbiter_and_daemon_are_lost() {
    let mut daemons = daemons(4, &["v1"]);
    let begun = begin(&mut daemons, 0, 1..20);
    daemons.run(Duration::from_millis(200));
    daemons.set_runners(runners_of(&["v1", "v2"], 4));
    daemons.run(Duration::from_millis(200));
    lose(&mut daemons, 0);
    expect_that!(take_up(&mut daemons, 3, &begun), eq(&builds(&begun)));
}

#[gtest]
fn a_stream_goes_on_though_its_arbiters_are_lost_one_after_the_other() {
    let mut daemons = daemons(6, &["v1", "v2"]);
    let begun = begin(&mut daemons, 0, 1..20);
    for lost in 0..3 {
        daemons.run(Duration::from_millis(200));
        lose(&mut daemons, lost);
        // The next arbiter starts with the first ask.
        request(&mut daemons, 5, ask(2_000 + lost as u64, "c1", "a"));
    }
    expect_that!(take_up(&mut daemons, 5, &begun), eq(&builds(&begun)));
}

/// A guess would mix every second stream.
#[gtest]
fn an_unknown_stream_is_refused_at_once_while_there_are_two_builds() {
    let mut daemons = daemons(2, &["v1", "v2"]);
    let unknown = [(7, String::new())];
    let answers = take_up(&mut daemons, 1, &unknown);
    expect_that!(answers.iter().all(is_unknown), eq(true), "{answers:?}");
}

/// Another arbiter may have granted runners of a build that this one has not heard of.
#[gtest]
fn an_unknown_stream_is_refused_while_there_is_one_build() {
    let mut daemons = daemons(2, &["v1"]);
    let begun = begin(&mut daemons, 1, 1..2);
    let answers = take_up(&mut daemons, 1, &[(7, "v1".to_owned())]);
    expect_that!(answers.iter().all(is_unknown), eq(true), "{answers:?}");
    expect_that!(take_up(&mut daemons, 1, &begun), eq(&builds(&begun)));
}

/// A caller that takes a stream up repeats the request, and need not name the one before.
#[gtest]
fn a_stream_that_its_caller_does_not_name_goes_on_at_its_build() {
    let mut daemons = daemons(4, &["v1", "v2"]);
    let begun = begin(&mut daemons, 1, 1..20);
    daemons.run(Duration::from_millis(200));
    lose(&mut daemons, 0);
    lose(&mut daemons, 1);
    let unnamed = begun
        .iter()
        .map(|(id, it)| (stream::unnamed(*id), it.clone()));
    let unnamed: Vec<_> = unnamed.collect();
    for (number, (id, build)) in unnamed.iter().enumerate() {
        let ticket = 2_000 + number as u64;
        let ask = Ask {
            fingerprint: begun[number].0,
            ..stream_ask(ticket, *id, Origin::Unknown)
        };
        let answer = request(&mut daemons, 2, ask);
        expect_that!(answer, eq(&Answer::Build(build.clone())));
        daemons.release(2, ticket, done());
    }
}

/// Older daemons give such a stream no id.
#[gtest]
fn a_stream_without_an_id_goes_on_at_its_build() {
    let mut daemons = daemons(2, &["v1", "v2"]);
    for (id, build) in begin(&mut daemons, 1, 1..20) {
        let ask = Ask {
            fingerprint: id,
            ..stream_ask(2_000 + id, NO_STREAM, Origin::Unknown)
        };
        let answer = request(&mut daemons, 0, ask);
        expect_that!(answer, eq(&Answer::Build(build)));
        daemons.release(0, 2_000 + id, done());
    }
}

/// Its second request has time of its own.
#[gtest]
fn a_stream_that_is_taken_up_twice_goes_on_though_its_second_daemon_is_lost() {
    let mut daemons = daemons(6, &["v1", "v2"]);
    let begun = begin(&mut daemons, 1, 1..8);
    daemons.run(LIFE * 4 / 5);
    for (id, build) in &begun {
        let ticket = 1_000 + id;
        let answer = request(&mut daemons, 2, stream_ask(ticket, *id, Origin::Unknown));
        expect_that!(answer, eq(&Answer::Build(build.clone())));
        daemons.requester_event(2, requester::Event::Begun(ticket));
        daemons.deliver_all();
    }
    daemons.run(Duration::from_secs(2));
    lose(&mut daemons, 2);
    expect_that!(take_up(&mut daemons, 3, &begun), eq(&builds(&begun)));
}

/// Its later end would let a request at another build begin without a conflict.
#[gtest]
fn an_equal_request_with_less_time_does_not_end_a_record() {
    let (mut records, now) = (Records::default(), Instant::now());
    let build = |records: &Records, at: Instant| records.get(at, 7).map(ToString::to_string);
    records.insert(now, 7, "v1", Duration::from_secs(30));
    records.insert(now, 7, "v1", Duration::from_secs(1));
    let later = now + Duration::from_secs(2);
    expect_that!(build(&records, later), some(eq("v1")));
    records.insert(later, 7, "v2", Duration::from_secs(30));
    expect_that!(build(&records, later), none());
}

/// Nothing tells the streams of equal requests apart if their callers do not name them.
#[gtest]
fn an_unnamed_stream_is_refused_if_equal_requests_began_at_two_builds() {
    let mut daemons = daemons(3, &["v1", "v2"]);
    let mut builds = BTreeMap::new();
    for id in 1..20 {
        let ask = Ask {
            fingerprint: 99,
            ..stream_ask(id, id, Origin::New)
        };
        if let Answer::Build(build) = request(&mut daemons, 1, ask) {
            daemons.requester_event(1, requester::Event::Begun(id));
            builds.insert(id, build);
        }
        daemons.deliver_all();
        if id == 1 {
            // Only two copies run before one has completed.
            daemons.release(1, id, done());
            daemons.deliver_all();
        }
    }
    let distinct: BTreeSet<&BuildId> = builds.values().collect();
    assert!(distinct.len() > 1, "{builds:?}");
    let unnamed = Ask {
        fingerprint: 99,
        ..stream_ask(500, stream::unnamed(99), Origin::Unknown)
    };
    let answer = request(&mut daemons, 2, unnamed);
    expect_that!(is_unknown(&answer), eq(true), "{answer:?}");
    for (id, build) in builds {
        let named = stream_ask(600 + id, id, Origin::Unknown);
        let answer = request(&mut daemons, 2, named);
        expect_that!(answer, eq(&Answer::Build(build)));
    }
}

/// Streams of a build that is not listed any more may still be taken up.
#[gtest]
fn an_unknown_stream_is_refused_while_streams_of_a_former_build_last() {
    let mut daemons = daemons(2, &["v1"]);
    begin(&mut daemons, 1, 1..2);
    daemons.release(1, 1, done());
    daemons.set_runners(runners_of(&["v2"], 4));
    daemons.run(SOON);
    let unknown = [(7, "v2".to_owned())];
    let answers = take_up(&mut daemons, 1, &unknown);
    expect_that!(answers.iter().all(is_unknown), eq(true), "{answers:?}");
    daemons.run(LIFE);
    let answers = take_up(&mut daemons, 1, &unknown);
    expect_that!(answers.iter().all(is_unknown), eq(true), "{answers:?}");
}

/// The daemons that do not answer may have seen another build.
#[gtest]
fn an_arbiter_that_few_daemons_answer_concludes_nothing() {
    let mut daemons = daemons(5, &["v1"]);
    daemons.acquire(1, stream_ask(1, 7, Origin::Unknown));
    let end = daemons.now + SOON;
    while daemons.now < end {
        daemons.now += Duration::from_millis(50);
        daemons.tick();
        while let Some(message) = daemons.in_flight.pop_front() {
            let silent = matches!(&message, slots::Message::Reply { to, .. } if *to > 1);
            if !silent {
                daemons.deliver(message);
            }
        }
    }
    let outcomes = daemons.take_outcomes();
    expect_that!(
        outcomes,
        elements_are![matches_pattern!(Outcome::Refused {
            refusal: matches_pattern!(Refusal::UnknownBuild { .. }),
            ..
        })]
    );
}

#[gtest]
fn a_stream_perhaps_of_another_service_needs_a_record() {
    let mut daemons = daemons(2, &["v1"]);
    let begun = begin(&mut daemons, 0, 1..2);
    let recorded = stream_ask(2_000, 7, Origin::Recorded);
    let answer = request(&mut daemons, 1, recorded);
    expect_that!(is_unknown(&answer), eq(true), "{answer:?}");
    let recorded = stream_ask(2_001, begun[0].0, Origin::Recorded);
    let answer = request(&mut daemons, 1, recorded);
    expect_that!(answer, eq(&Answer::Build("v1".to_owned())));
}

#[gtest]
fn a_stream_whose_build_has_left_is_refused_at_once() {
    let mut daemons = daemons(2, &["v1"]);
    let begun = begin(&mut daemons, 1, 1..2);
    daemons.set_runners(runners_of(&["v2"], 4));
    let gone = Answer::Refused(Refusal::NoBuild {
        build: "v1".to_owned(),
    });
    expect_that!(take_up(&mut daemons, 1, &begun), eq(&vec![gone]));
}

#[gtest]
fn a_waiting_stream_is_refused_as_its_last_runner_leaves() {
    let mut all = runners_of(&["v1", "v2"], 2);
    let mut daemons = Daemons::new(2, catalogue(1, |_| {}), all.clone());
    let begun = begin(&mut daemons, 1, 1..3);
    let waits = stream_ask(9, 50, Origin::Build("v1".to_owned()));
    expect_that!(request(&mut daemons, 1, waits), eq(&Answer::Waits));
    all[0].standing = Standing::Leaving;
    daemons.set_runners(all);
    daemons.deliver_all();
    let refusal = Refusal::NoBuild {
        build: "v1".to_owned(),
    };
    let expected = Outcome::Refused {
        daemon: 1,
        ticket: 9,
        refusal,
    };
    expect_that!(
        daemons.take_outcomes(),
        contains(eq(&expected)),
        "{begun:?}"
    );
}

/// Its own runners are full; those of the other build have room.
#[gtest]
fn a_stream_waits_for_its_build() {
    let mut daemons = Daemons::new(1, catalogue(1, |_| {}), runners_of(&["v1", "v2"], 2));
    let begun = begin(&mut daemons, 0, 1..3);
    let of = |build: &str| begun.iter().find(|it| it.1 == build).expect("a stream").0;
    daemons.release(0, of("v2"), done());
    let waits = stream_ask(10, 50, Origin::Build("v1".to_owned()));
    expect_that!(request(&mut daemons, 0, waits), eq(&Answer::Waits));
    daemons.release(0, of("v1"), done());
    daemons.deliver_all();
    let granted = daemons.take_outcomes().into_iter().find_map(|it| match it {
        Outcome::Granted { runner, .. } => Some(build_of(&daemons, &runner)),
        _ => None,
    });
    expect_that!(granted, some(eq("v1")));
}

/// Probes of runners out of use are requests like others.
#[gtest]
fn a_runner_out_of_use_is_not_probed_with_a_stream_of_another_build() {
    let mut daemons = Daemons::new(1, catalogue(1, |_| {}), runners_of(&["v1", "v2"], 2));
    let mut ticket = 100;
    for _ in 0..10 {
        ticket += 1;
        let ask = stream_ask(ticket, ticket, Origin::Build("v2".to_owned()));
        if request(&mut daemons, 0, ask) == Answer::Build("v2".to_owned()) {
            daemons.release(0, ticket, sample(End::Broken, Duration::from_millis(10)));
        }
    }
    // Long enough for the probe to take any class.
    daemons.run(Duration::from_secs(5));
    daemons.take_outcomes();
    let begun = stream_ask(1, 1, Origin::Build("v1".to_owned()));
    expect_that!(
        request(&mut daemons, 0, begun),
        eq(&Answer::Build("v1".to_owned()))
    );
}

#[gtest]
fn a_slow_runner_keeps_its_streams_if_no_other_has_its_build() {
    let all = runners_of(&["v1", "v2", "v2", "v2", "v2", "v2"], 6);
    let mut daemons = Daemons::new(1, catalogue(4, |_| {}), all);
    let begun = begin(&mut daemons, 0, 1..19);
    let slow: Vec<u64> = begun
        .iter()
        .filter(|it| it.1 == "v1")
        .map(|it| it.0)
        .collect();
    assert!(slow.len() >= 2, "{begun:?}");
    for round in 0..20 {
        let progress = (0..6).map(|number| arbiter::Progress {
            runner: format!("r{number}"),
            silent: Duration::ZERO,
            between_tokens: Some(Duration::from_millis(if number == 0 { 500 } else { 20 })),
        });
        let event = citron_policy::requester::Event::Progress(progress.collect());
        daemons.requester_event(0, event);
        daemons.run(Duration::from_millis(600));
        let preempted = daemons
            .take_outcomes()
            .into_iter()
            .filter(|it| matches!(it, Outcome::Preempted { .. }));
        expect_that!(preempted.count(), eq(0), "round {round}");
    }
    let aside = daemons.notes.iter().any(|(_, note)| {
        matches!(note, arbiter::Note::Health(arbiter::Transition::Aside(it)) if it == "r0")
    });
    expect_that!(aside, eq(true));
}

/// One stream of a caller, which takes it up as long as its time lasts.
struct Caller {
    id: StreamId,
    ticket: u64,
    daemon: usize,
    /// Build of its first event.
    build: Option<BuildId>,
    runner: Option<String>,
    granted: Instant,
    /// When it leaves, or has the whole stream.
    leaves: Instant,
    until: Instant,
    tries: u32,
}

/// Streams at daemons that are lost, with builds that come and go.
struct Simulation {
    daemons: Daemons,
    random: StdRng,
    started: Instant,
    next: u64,
    callers: BTreeMap<u64, Caller>,
    begun: usize,
    new: usize,
    taken_up: usize,
    gone_on: usize,
    mixed: usize,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let daemons = Daemons::new(8, catalogue(16, |_| {}), runners_of(&["v1"], 6));
        Self {
            random: StdRng::seed_from_u64(seed),
            started: daemons.now,
            daemons,
            next: 1,
            callers: BTreeMap::new(),
            begun: 0,
            new: 0,
            taken_up: 0,
            gone_on: 0,
            mixed: 0,
        }
    }

    fn live(&mut self) -> usize {
        let live = (0..8).filter(|it| self.daemons.requesters[*it].is_some());
        let live: Vec<usize> = live.collect();
        live[self.random.random_range(0..live.len())]
    }

    fn begin(&mut self) {
        self.new += 1;
        let caller = Caller {
            id: self.next,
            ticket: 0,
            daemon: 0,
            build: None,
            runner: None,
            granted: self.daemons.now,
            leaves: self.daemons.now + LIFE,
            until: self.daemons.now + LIFE,
            tries: 0,
        };
        self.send(caller);
    }

    fn send(&mut self, mut caller: Caller) {
        let origin = match &caller.build {
            None => Origin::New,
            Some(_) => Origin::Unknown,
        };
        caller.daemon = self.live();
        caller.ticket = self.next;
        caller.tries += 1;
        self.next += 1;
        let life = caller.until.saturating_duration_since(self.daemons.now);
        let ask = Ask {
            stream: Some(Stream {
                id: caller.id,
                origin,
                life,
            }),
            fingerprint: caller.ticket,
            remaining: life,
            ..ask(caller.ticket, "c1", "a")
        };
        self.daemons.acquire(caller.daemon, ask);
        self.callers.insert(caller.ticket, caller);
    }

    fn on_granted(&mut self, ticket: u64, runner: String) {
        let build = build_of(&self.daemons, &runner);
        let now = self.daemons.now;
        let lasts = Duration::from_millis(self.random.random_range(100..1_500));
        let Some(caller) = self.callers.get_mut(&ticket) else {
            return;
        };
        match &caller.build {
            None => self.begun += 1,
            Some(first) => {
                self.gone_on += 1;
                self.mixed += usize::from(*first != build);
            }
        }
        caller.build.get_or_insert(build);
        caller.runner = Some(runner);
        caller.granted = now;
        caller.leaves = now + lasts;
        let daemon = caller.daemon;
        let begun = requester::Event::Begun(ticket);
        self.daemons.requester_event(daemon, begun);
    }

    fn advance(&mut self) {
        self.daemons.now += Duration::from_millis(50);
        for _ in 0..2 {
            self.begin();
        }
        self.daemons.tick();
        self.daemons.deliver_all();
        for outcome in self.daemons.take_outcomes() {
            match outcome {
                Outcome::Granted { ticket, runner, .. } => self.on_granted(ticket, runner),
                Outcome::Refused { ticket, .. } => {
                    self.callers.remove(&ticket);
                }
                Outcome::Preempted { .. } => {}
            }
        }
        let now = self.daemons.now;
        let left = self.callers.values();
        let left = left.filter(|it| it.runner.is_some() && it.leaves <= now);
        let left: Vec<u64> = left.map(|it| it.ticket).collect();
        for ticket in left {
            let caller = self.callers.remove(&ticket).expect("a caller");
            self.daemons.release(caller.daemon, ticket, done());
            if caller.tries < 3 && self.random.random_bool(0.3) {
                self.take_up(caller);
            }
        }
    }

    fn take_up(&mut self, caller: Caller) {
        if caller.build.is_none() || caller.until <= self.daemons.now {
            return;
        }
        self.taken_up += 1;
        self.send(Caller {
            runner: None,
            ..caller
        });
    }

    /// Loses daemons at once, with all streams there.
    fn lose(&mut self, lost: &[usize]) {
        for daemon in lost {
            self.daemons.kill(*daemon);
        }
        self.daemons.announce_live();
        let there = self.callers.values();
        let there = there.filter(|it| lost.contains(&it.daemon));
        let there: Vec<u64> = there.map(|it| it.ticket).collect();
        for ticket in there {
            let caller = self.callers.remove(&ticket).expect("a caller");
            self.take_up(caller);
        }
    }

    fn run(&mut self, lost_at_once: usize) {
        let plans: [(u64, &[&str]); 5] = [
            (5, &["v1", "v2"]),
            (15, &["v1", "v2", "v3"]),
            (25, &["v2", "v3"]),
            (32, &["v3"]),
            (38, &["v3", "v4"]),
        ];
        let mut plans = plans.iter().peekable();
        let mut next_loss = 3;
        while self.daemons.now - self.started < Duration::from_secs(45) {
            let second = (self.daemons.now - self.started).as_secs();
            if plans.peek().is_some_and(|it| it.0 <= second) {
                let (_, builds) = plans.next().expect("a plan");
                self.daemons.set_runners(runners_of(builds, 6));
            }
            if second >= next_loss {
                next_loss += 4;
                let first = self.random.random_range(0..8);
                let lost: Vec<usize> = (0..lost_at_once).map(|it| (first + it) % 8).collect();
                self.lose(&lost);
                for daemon in lost {
                    self.daemons.restart(daemon);
                }
                self.daemons.announce_live();
            }
            self.advance();
        }
    }
}

fn check(lost_at_once: usize) {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed);
        simulation.run(lost_at_once);
        let Simulation {
            mixed,
            taken_up,
            gone_on,
            new,
            begun,
            ..
        } = simulation;
        expect_that!(mixed, eq(0), "seed {seed}");
        expect_that!(taken_up, ge(300), "seed {seed}");
        expect_that!(
            2 * gone_on * new,
            ge(taken_up * begun),
            "seed {seed}: {gone_on} of {taken_up}, {begun} of {new}"
        );
    }
}

#[gtest]
fn streams_go_on_at_their_build_while_daemons_are_lost_and_builds_come_and_go() {
    check(1);
}

#[gtest]
fn streams_go_on_at_their_build_while_half_of_the_daemons_are_lost_at_once() {
    check(4);
}
