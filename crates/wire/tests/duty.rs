//! Reports of usage: round trips, and inconsistent lists are errors.

use std::time::Duration;

use citron_policy::usage::{MAX_STARTS, Report, Start};
use citron_wire::{
    duty::{Error, Received},
    generated::duty as proto,
};
use googletest::prelude::*;
use prost::Message;

fn report() -> Report {
    let start = |account, age| Start {
        account,
        age: Duration::from_millis(age),
    };
    Report {
        process: 0xfeed_f00d_0000_0001,
        clock: Duration::from_millis(123_456),
        wall: Duration::from_millis(1_767_225_600_001),
        oldest: 3,
        first: 7,
        starts: vec![start(0, 480), start(1, 20), start(0, 0)],
        accounts: vec!["hule930".to_owned(), "fida11".to_owned()],
    }
}

fn sent(message: &proto::Message) -> proto::Message {
    proto::Message::decode(message.encode_to_vec().as_slice()).expect("our own bytes")
}

#[gtest]
fn a_report_and_its_answer_survive_the_way() {
    let message = proto::Message::from(report());
    expect_that!(Report::try_from(sent(&message)), ok(eq(&report())));
    for holder in [None, Some(("i-1".to_owned(), 17))] {
        let received = Received { holder, next: 10 };
        let message = proto::Message::from(received.clone());
        expect_that!(Received::try_from(sent(&message)), ok(eq(&received)));
    }
}

#[gtest]
fn a_report_that_names_no_account_for_a_start_is_not_counted() {
    let broken: [fn(&mut proto::Report); 4] = [
        |it| it.account[1] = 2,
        |it| it.age_ms.truncate(2),
        |it| it.accounts.clear(),
        |it| it.accounts.extend(["a", "b"].map(str::to_owned)),
    ];
    for change in broken {
        let mut message = proto::Message::from(report());
        if let Some(proto::message::Body::Report(it)) = &mut message.body {
            change(it);
        }
        expect_that!(Report::try_from(message), err(eq(&Error::Lists)));
    }
    expect_that!(
        Report::try_from(proto::Message::default()),
        err(eq(&Error::Kind))
    );
}

#[gtest]
fn a_report_beyond_the_bound_is_refused_before_it_is_copied() {
    let mut report = report();
    report.starts.resize(MAX_STARTS + 1, report.starts[0]);
    let message = proto::Message::from(report);
    expect_that!(Report::try_from(message), err(eq(&Error::Length)));
}
