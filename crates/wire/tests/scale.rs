//! Messages about demand for runners: round trips and damaged messages.

use citron_policy::autoscale::{Count, Demand, Fleet};
use citron_wire::{
    generated::duty::{Message, message::Body},
    scale::{self, Error, Plan},
};
use googletest::prelude::*;
use prost::Message as _;

fn demand() -> Demand {
    let fleet = Fleet {
        stable: Count {
            ready: 20,
            leaving: 1,
        },
        reclaimable: Count {
            ready: 3,
            leaving: 4,
        },
    };
    Demand {
        service: "chat".to_owned(),
        fleets: [("a".to_owned(), fleet)].into_iter().collect(),
        usable: 22,
        slots: 1_408,
        prefill: 0.25,
        held: 0.5,
        memory: 0.125,
        waiting: vec![0.0, 7.5],
        granted: 100,
        refused: 9,
        urgent: 0.75,
    }
}

fn plan() -> Plan {
    Plan {
        service: "chat".to_owned(),
        holder: Some("i1".to_owned()),
        token: 77,
        orders: vec![("a".to_owned(), true, 12), ("a".to_owned(), false, 1)],
    }
}

fn sent(message: &Message) -> Option<Body> {
    let bytes = message.encode_to_vec();
    Message::decode(bytes.as_slice()).expect("a message").body
}

#[gtest]
fn reports_and_plans_arrive_as_they_were_sent() {
    for known in [plan(), Plan::default()] {
        let message = scale::demand_to_proto(&demand(), known.clone());
        let Some(Body::Demand(received)) = sent(&message) else {
            panic!("another message");
        };
        expect_that!(
            scale::demand_from_proto(received),
            ok(eq(&(demand(), known)))
        );
    }
    let Some(Body::Plan(received)) = sent(&scale::plan_to_proto(plan())) else {
        panic!("another message");
    };
    expect_that!(scale::plan_from_proto(received), ok(eq(&plan())));
}

#[gtest]
fn a_number_that_is_none_cannot_move_runners() {
    for number in [f64::NAN, f64::INFINITY, -1.0] {
        for damage in 0..3 {
            let mut damaged = demand();
            match damage {
                0 => damaged.prefill = number,
                1 => damaged.urgent = number,
                _ => damaged.waiting[1] = number,
            }
            let message = scale::demand_to_proto(&damaged, Plan::default());
            let Some(Body::Demand(received)) = sent(&message) else {
                panic!("another message");
            };
            expect_that!(scale::demand_from_proto(received), err(eq(&Error::Number)));
        }
    }
}

#[gtest]
fn a_message_without_a_service_is_refused() {
    let unnamed = Plan {
        service: String::new(),
        ..plan()
    };
    let Some(Body::Plan(received)) = sent(&scale::plan_to_proto(unnamed)) else {
        panic!("another message");
    };
    let missing = Error::Name { part: "service" };
    expect_that!(scale::plan_from_proto(received), err(eq(&missing)));
}
