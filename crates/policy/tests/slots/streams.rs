//! Streams that begin at one daemon and are taken up at another.

#![allow(
    dead_code,
    reason = "each test file uses its own part of the shared pieces"
)]

use std::time::Duration;

use citron_policy::{
    arbiter::{Ask, Refusal},
    id::{BuildId, StreamId},
    platform::Runner,
    requester,
    stream::{Origin, Stream},
};

use crate::slots::{Daemons, Outcome, ask, catalogue, done, runners};

/// Time for which a caller may take its stream up.
pub const LIFE: Duration = Duration::from_secs(5);

/// Longest wait of a stream that can go on.
pub const SOON: Duration = Duration::from_millis(500);

/// Runners of builds that take turns.
pub fn runners_of(builds: &[&str], count: usize) -> Vec<Runner> {
    let mut all = runners(count);
    for (runner, build) in all.iter_mut().zip(builds.iter().cycle()) {
        (*build).clone_into(&mut runner.build);
    }
    all
}

pub fn daemons(count: usize, builds: &[&str]) -> Daemons {
    Daemons::new(count, catalogue(16, |_| {}), runners_of(builds, 4))
}

pub fn stream_ask(ticket: u64, id: StreamId, origin: Origin) -> Ask {
    Ask {
        stream: Some(Stream {
            id,
            origin,
            life: LIFE,
        }),
        ..ask(ticket, "c1", "a")
    }
}

/// What became of a stream that asked for a slot.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Build(BuildId),
    Refused(Refusal),
    Waits,
}

/// Asks for a slot and waits a little for the answer.
pub fn request(daemons: &mut Daemons, daemon: usize, ask: Ask) -> Answer {
    let ticket = ask.ticket;
    daemons.acquire(daemon, ask);
    let end = daemons.now + SOON;
    loop {
        daemons.deliver_all();
        for outcome in daemons.take_outcomes() {
            match outcome {
                Outcome::Granted {
                    ticket: it, runner, ..
                } if it == ticket => return Answer::Build(build_of(daemons, &runner)),
                Outcome::Refused {
                    ticket: it,
                    refusal,
                    ..
                } if it == ticket => return Answer::Refused(refusal),
                _ => {}
            }
        }
        if daemons.now >= end {
            return Answer::Waits;
        }
        daemons.run(Duration::from_millis(50));
    }
}

pub fn build_of(daemons: &Daemons, runner: &str) -> BuildId {
    let mut runners = daemons.runners.iter();
    let runner = runners.find(|it| it.id == runner);
    runner.expect("a listed runner").build.clone()
}

/// Begins streams at a daemon; returns the build of each.
pub fn begin(
    daemons: &mut Daemons,
    daemon: usize,
    ids: std::ops::Range<u64>,
) -> Vec<(u64, BuildId)> {
    ids.map(|id| {
        let ask = stream_ask(id, id, Origin::New);
        let Answer::Build(build) = request(daemons, daemon, ask) else {
            panic!("stream {id} does not begin");
        };
        daemons.requester_event(daemon, requester::Event::Begun(id));
        daemons.deliver_all();
        (id, build)
    })
    .collect()
}

/// Ends the streams and takes them up at a daemon; returns their answers.
pub fn take_up(daemons: &mut Daemons, daemon: usize, begun: &[(u64, BuildId)]) -> Vec<Answer> {
    let answers = begun.iter().map(|(id, _)| {
        let ticket = 1_000_000 + id;
        let ask = stream_ask(ticket, *id, Origin::Unknown);
        let answer = request(daemons, daemon, ask);
        daemons.release(daemon, ticket, done());
        answer
    });
    answers.collect()
}

pub fn builds(begun: &[(u64, BuildId)]) -> Vec<Answer> {
    let builds = begun.iter().map(|(_, build)| Answer::Build(build.clone()));
    builds.collect()
}

pub fn lose(daemons: &mut Daemons, daemon: usize) {
    daemons.kill(daemon);
    daemons.announce_live();
}

pub fn is_unknown(answer: &Answer) -> bool {
    matches!(answer, Answer::Refused(Refusal::UnknownBuild { .. }))
}
