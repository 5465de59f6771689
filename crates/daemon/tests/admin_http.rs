//! The operators' interface: authentication, responses, and how it reports
//! whether a change was made.

mod admin;

use actix_http::StatusCode;
use admin::{Daemon, REPLICA, TOKEN, class, join};
use citron_daemon::{
    admin::{TokenFault, Tokens},
    control::Error,
};
use citron_policy::{
    catalogue::{Change, Fault, Key, Kind},
    crash::{Step, Table},
    lease,
    state::{Answer, Author, Refusal},
};
use googletest::prelude::*;
use serde_json::{Value, json};

struct Reply {
    status: StatusCode,
    body: Value,
}

async fn send(method: &str, url: String, token: Option<&str>, body: Value) -> Reply {
    let method = method.parse().expect("a method");
    let client = awc::Client::builder().disable_timeout().finish();
    let mut request = client.request(method, url);
    if let Some(token) = token {
        request = request.insert_header(("authorization", format!("Bearer {token}")));
    }
    let mut response = request.send_json(&body).await.expect("an answer");
    let status = response.status();
    let bytes = response.body().limit(16 << 20).await.expect("a whole body");
    let body = serde_json::from_slice(&bytes)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&bytes).into_owned()));
    Reply { status, body }
}

async fn get(daemon: &Daemon, path: &str) -> Reply {
    let url = format!("http://{}{path}", daemon.address);
    send("GET", url, Some(TOKEN), Value::Null).await
}

async fn post(daemon: &Daemon, path: &str, body: Value) -> Reply {
    let url = format!("http://{}{path}", daemon.address);
    send("POST", url, Some(TOKEN), body).await
}

fn change() -> Value {
    let change = Change {
        id: "c1".to_owned(),
        base: 4,
        operator: "somebody-else".to_owned(),
        puts: vec![class("repair")],
        removes: Vec::new(),
    };
    serde_json::to_value(change).expect("a change")
}

#[gtest]
fn requests_without_a_listed_token_are_refused() {
    actix_rt::System::new().block_on(async {
        let daemon = Daemon::start("a").await;
        for token in [
            None,
            Some(""),
            Some("ann"),
            Some("ann-obviously-fake-tokem"),
        ] {
            for path in ["/v1/status", "/metrics", "/v1/catalogue", "/nowhere"] {
                let url = format!("http://{}{path}", daemon.address);
                let reply = send("GET", url, token, Value::Null).await;
                expect_that!(reply.status, eq(StatusCode::UNAUTHORIZED));
                expect_that!(reply.body["kind"], eq(&json!("token")));
            }
        }
        let url = format!("http://{}/v1/changes", daemon.address);
        let reply = send("POST", url, None, change()).await;
        expect_that!(reply.status, eq(StatusCode::UNAUTHORIZED));
        expect_that!(daemon.script.changes.borrow().len(), eq(0));
    });
}

#[gtest]
fn a_change_is_recorded_under_the_name_of_its_token() {
    actix_rt::System::new().block_on(async {
        let daemon = Daemon::start("a").await;
        daemon
            .script
            .answer
            .replace(Some(Ok(Answer::Change(Ok(5)))));
        let reply = post(&daemon, "/v1/changes", change()).await;
        expect_that!(reply.status, eq(StatusCode::OK));
        expect_that!(reply.body, eq(&json!({"revision": 5})));
        expect_that!(daemon.script.changes.borrow()[0].operator, eq("ann"));
        let key = Key {
            kind: Kind::Class,
            name: "repair".to_owned(),
        };
        let events = daemon.ring.of_entry(&key);
        expect_that!(events[0].code, eq("CP0801"));
    });
}

#[gtest]
fn a_conflict_names_who_changed_what() {
    actix_rt::System::new().block_on(async {
        let daemon = Daemon::start("a").await;
        let author = Author {
            key: Key {
                kind: Kind::Class,
                name: "repair".to_owned(),
            },
            operator: "ben".to_owned(),
            change: "b7".to_owned(),
            revision: 6,
        };
        let refusal = Refusal::Stale {
            current: 6,
            authors: vec![author],
        };
        daemon
            .script
            .answer
            .replace(Some(Ok(Answer::Change(Err(refusal)))));
        let reply = post(&daemon, "/v1/changes", change()).await;
        expect_that!(reply.status, eq(StatusCode::CONFLICT));
        expect_that!(reply.body["kind"], eq(&json!("conflict")));
        expect_that!(reply.body["current"], eq(&json!(6)));
        expect_that!(reply.body["authors"][0]["operator"], eq(&json!("ben")));
        let detail = reply.body["detail"].as_str().unwrap_or_default();
        expect_that!(detail, contains_substring("ben changed class/repair"));
    });
}

#[gtest]
fn every_outcome_says_whether_it_was_done() {
    let invalid = Fault::Missing {
        key: Key {
            kind: Kind::Account,
            name: "coast".to_owned(),
        },
        missing: Key {
            kind: Kind::Class,
            name: "proofs".to_owned(),
        },
    };
    let reused = Refusal::Reused { first: Some(3) };
    let cases = [
        (
            Ok(Answer::Change(Err(reused))),
            409,
            "change-id",
            "id of its own",
        ),
        (
            Ok(Answer::Change(Err(Refusal::Invalid(invalid)))),
            422,
            "invalid",
            "class/proofs",
        ),
        (Ok(Answer::Done), 504, "unknown", "same id"),
        (Err(Error::Unsure), 504, "unknown", "same id"),
        (Err(Error::NoLeader), 503, "unavailable", "try again"),
        (Err(Error::Busy), 503, "unavailable", "try again"),
        (
            Err(Error::TooLarge { bytes: 9, limit: 8 }),
            413,
            "request",
            "split it",
        ),
    ];
    actix_rt::System::new().block_on(async {
        let daemon = Daemon::start("a").await;
        for (answer, status, kind, remedy) in cases {
            daemon.script.answer.replace(Some(answer));
            let reply = post(&daemon, "/v1/changes", change()).await;
            expect_that!(reply.status.as_u16(), eq(status));
            expect_that!(reply.body["kind"], eq(&json!(kind)));
            let detail = reply.body["detail"].as_str().unwrap_or_default();
            expect_that!(detail, contains_substring(remedy));
        }
    });
}

#[gtest]
fn malformed_requests_do_not_reach_the_control_log() {
    actix_rt::System::new().block_on(async {
        let daemon = Daemon::start("a").await;
        let mut extra = change();
        extra["surprise"] = json!(1);
        let mut without_id = change();
        without_id["id"] = json!("");
        let mut spaced = change();
        spaced["id"] = json!("a b");
        let mut empty = change();
        empty["puts"] = json!([]);
        for body in [
            json!({}),
            json!([1]),
            json!("x"),
            extra,
            without_id,
            spaced,
            empty,
        ] {
            let reply = post(&daemon, "/v1/changes", body).await;
            expect_that!(reply.status, eq(StatusCode::BAD_REQUEST));
        }
        let mut large = change();
        large["id"] = json!("x".repeat(9 << 20));
        let reply = post(&daemon, "/v1/changes", large).await;
        expect_that!(reply.status, eq(StatusCode::PAYLOAD_TOO_LARGE));
        for path in [
            "/v1/force",
            "/v1/force?revision=x",
            "/v1/explain",
            "/v1/explain?entry=x",
            "/v1/explain?entry=x%zz",
        ] {
            expect_that!(get(&daemon, path).await.status, eq(StatusCode::BAD_REQUEST));
        }
        expect_that!(
            get(&daemon, "/v1/nothing").await.status,
            eq(StatusCode::NOT_FOUND)
        );
        expect_that!(daemon.script.changes.borrow().len(), eq(0));
    });
}

#[gtest]
fn force_names_where_a_revision_is_not_in_force() {
    actix_rt::System::new().block_on(async {
        let (a, b, c) = (
            Daemon::start("a").await,
            Daemon::start("b").await,
            Daemon::start("c").await,
        );
        join(&[&a, &b, &c]);
        a.set_revision(7);
        b.set_revision(6);
        c.set_revision(7);
        let reply = get(&a, "/v1/force?revision=7").await;
        expect_that!(reply.body["in_force"], eq(&json!(["a", "c"])));
        expect_that!(reply.body["lagging"][0]["instance"], eq(&json!("b")));
        expect_that!(reply.body["lagging"][0]["revision"], eq(&json!(6)));
        b.set_revision(7);
        let reply = get(&a, "/v1/force?revision=7").await;
        expect_that!(reply.body["lagging"], eq(&json!([])));
    });
}

#[gtest]
fn a_live_daemon_that_does_not_answer_is_named() {
    actix_rt::System::new().block_on(async {
        let (a, b) = (Daemon::start("a").await, Daemon::start("b").await);
        join(&[&a, &b]);
        // Nothing listens at the discard port.
        a.hub.set_addresses(indexmap::indexmap! {
            "b".to_owned() => std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
        });
        let reply = get(&a, "/v1/force?revision=0").await;
        expect_that!(reply.body["in_force"], eq(&json!(["a"])));
        expect_that!(reply.body["lagging"][0]["instance"], eq(&json!("b")));
        expect_that!(reply.body["lagging"][0]["revision"], eq(&Value::Null));
    });
}

#[gtest]
fn explain_gathers_events_owners_and_dependents() {
    actix_rt::System::new().block_on(async {
        let (a, b) = (Daemon::start("a").await, Daemon::start("b").await);
        join(&[&a, &b]);
        a.set_revision(2);
        let key = Key {
            kind: Kind::Class,
            name: "repair".to_owned(),
        };
        a.ring.record(
            "CP0201",
            Some(0xbeef),
            std::slice::from_ref(&key),
            "taken in".to_owned(),
        );
        b.ring
            .record("CP0301", Some(0xbeef), &[], "slot given".to_owned());
        b.ring
            .record("CP0301", Some(0xdead), &[], "another request".to_owned());
        let reply = get(&a, "/v1/explain?request=000000000000BEEF").await;
        let codes: Vec<&str> = reply.body["events"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|it| it["code"].as_str())
            .collect();
        expect_that!(codes, unordered_elements_are![eq(&"CP0201"), eq(&"CP0301")]);
        expect_that!(reply.body["involved"][0]["owner"], eq(&json!("desk-team")));
        let reply = get(&b, "/v1/explain?entry=class%2Frepair").await;
        expect_that!(reply.body["events"][0]["instance"], eq(&json!("a")));
    });
}

#[gtest]
fn status_names_members_replicas_and_leader() {
    actix_rt::System::new().block_on(async {
        let a = Daemon::start("a").await;
        a.script.standing.replace(vec![("a", true)]);
        join(&[&a]);
        let reply = get(&a, "/v1/status").await;
        expect_that!(reply.body["leader"], eq(&json!("a")));
        expect_that!(reply.body["members"][0]["domain"], eq(&json!("windhoek")));
        expect_that!(
            reply.body["replicas"][0]["replica"],
            eq(&json!("0000000000000abc"))
        );
        expect_that!(reply.body["voters"], eq(&json!(["0000000000000abc"])));
        expect_that!(reply.body.get("duties"), none(), "never held");
        let record = lease::Record {
            holder: REPLICA,
            instance: "a".to_owned(),
            token: 17,
            renewed: 23,
        };
        a.script.duties.replace((Some(record), Some(7)));
        let reply = get(&a, "/v1/status").await;
        expect_that!(
            reply.body["duties"],
            eq(&json!({"holder": "a", "token": 17, "renewed": 23, "fixed": 7}))
        );
    });
}

#[gtest]
fn forming_takes_instances_and_replacing_takes_replicas_in_hex() {
    actix_rt::System::new().block_on(async {
        let a = Daemon::start("a").await;
        a.script.standing.replace(vec![("a", false)]);
        join(&[&a]);
        let reply = post(&a, "/v1/init", json!({"instances": ["a"]})).await;
        expect_that!(
            reply.body["kind"],
            eq(&json!("unknown")),
            "no voter has joined"
        );
        a.script.replicas.take();
        a.script.joins.set(true);
        let reply = post(&a, "/v1/init", json!({"instances": ["a"]})).await;
        expect_that!(reply.status, eq(StatusCode::OK));
        a.script.standing.replace(vec![("a", false)]);
        let replace = json!({"old": "0000000000000abc", "new": "0000000000000def"});
        let reply = post(&a, "/v1/replicas/replace", replace).await;
        expect_that!(reply.status, eq(StatusCode::OK));
        expect_that!(*a.script.replicas.borrow(), eq(&[0xabc, 0xabc, 0xdef]));
        let replace = json!({"old": "abc", "new": "0000000000000def"});
        let reply = post(&a, "/v1/replicas/replace", replace).await;
        expect_that!(reply.status, eq(StatusCode::BAD_REQUEST));
        let refused = Error::Refused {
            reason: "formed already".to_owned(),
        };
        a.script.outcome.replace(Some(Err(refused)));
        let reply = post(&a, "/v1/init", json!({"instances": ["a"]})).await;
        expect_that!(reply.body["kind"], eq(&json!("refused")));
    });
}

#[gtest]
fn a_cluster_is_not_formed_while_a_named_instance_is_unknown() {
    actix_rt::System::new().block_on(async {
        let a = Daemon::start("a").await;
        join(&[&a]);
        for instances in [json!([]), json!(["a", "b"])] {
            let reply = post(&a, "/v1/init", json!({"instances": instances})).await;
            expect_that!(reply.status, eq(StatusCode::BAD_REQUEST), "{instances}");
        }
        expect_that!(*a.script.replicas.borrow(), is_empty());
    });
}

#[gtest]
fn no_cluster_is_formed_while_another_exists_or_may_exist() {
    actix_rt::System::new().block_on(async {
        let (a, b) = (Daemon::start("a").await, Daemon::start("b").await);
        join(&[&a, &b]);
        let cases = [
            (
                vec![("a", false), ("b", true)],
                "belongs to a cluster already",
            ),
            (vec![("a", false)], "the replica on b does not answer"),
        ];
        for (standing, reason) in cases {
            a.script.standing.replace(standing);
            let body = json!({"instances": ["a"]});
            let reply = post(&a, "/v1/init", body).await;
            expect_that!(reply.status, eq(StatusCode::CONFLICT));
            let detail = reply.body["detail"].as_str().unwrap_or_default();
            expect_that!(detail, contains_substring(reason));
        }
        a.script.standing.replace(vec![("a", false)]);
        let body = json!({"instances": ["a"]});
        let all = a.members.borrow().clone();
        let alone = all.iter().filter(|(id, _)| *id == "a");
        let alone = alone.map(|(id, member)| (id.clone(), member.clone()));
        a.members.send_replace(std::sync::Arc::new(alone.collect()));
        let reply = post(&a, "/v1/init", body.clone()).await;
        let detail = reply.body["detail"].as_str().unwrap_or_default();
        expect_that!(
            detail,
            contains_substring("b is on the platform's list and has not joined")
        );
        a.list([]);
        let reply = post(&a, "/v1/init", body).await;
        let detail = reply.body["detail"].as_str().unwrap_or_default();
        expect_that!(detail, contains_substring("list does not name a"));
        expect_that!(a.script.replicas.borrow().len(), eq(0));
    });
}

#[gtest]
fn metrics_count_answers_by_status() {
    actix_rt::System::new().block_on(async {
        let a = Daemon::start("a").await;
        get(&a, "/v1/nothing").await;
        let reply = get(&a, "/metrics").await;
        let text = reply.body.as_str().unwrap_or_default().to_owned();
        expect_that!(
            text,
            contains_substring("citron_admin_requests_total{status=\"404\"} 1")
        );
    });
}

#[gtest]
fn marks_are_listed_and_lifted_by_operators() {
    actix_rt::System::new().block_on(async {
        let daemon = Daemon::start("e1").await;
        let mut marks = Table::default();
        marks.apply(&Step::Suspected(vec![0x1f]));
        marks.apply(&Step::Quarantined(0xab));
        daemon.set_marks(marks);
        let listed = get(&daemon, "/v1/marks").await;
        let expected = json!({
            "suspected": ["000000000000001f"],
            "quarantined": ["00000000000000ab"],
        });
        expect_that!(listed.body, eq(&expected));
        *daemon.script.answer.borrow_mut() = Some(Ok(Answer::Done));
        let release = |mark: &str| json!({ "mark": mark });
        let lifted = post(&daemon, "/v1/marks/release", release("00000000000000ab")).await;
        expect_that!(lifted.status, eq(StatusCode::OK));
        expect_that!(
            *daemon.script.marks.borrow(),
            elements_are![eq(&Step::Cleared(0xab))]
        );
        // Neither an unknown mark nor garbage reaches the control log.
        for wrong in ["cd", "mark"] {
            let refused = post(&daemon, "/v1/marks/release", release(wrong)).await;
            expect_that!(refused.status, eq(StatusCode::BAD_REQUEST));
        }
        expect_that!(daemon.script.marks.borrow().len(), eq(1));
    });
}

#[gtest]
fn token_lists_show_every_fault_and_no_token() {
    let text = "ann secret-secret-secret # desk\n\nbob\n b!d secret-secret-secre2\ncy short\n\
                dan secret-secret-secret\n";
    let faults = Tokens::parse(text).expect_err("faults");
    expect_that!(
        faults,
        elements_are![
            eq(&TokenFault::Format { line: 3 }),
            eq(&TokenFault::Name { line: 4 }),
            eq(&TokenFault::Short { line: 5 }),
            eq(&TokenFault::Duplicate { line: 6 }),
        ]
    );
    let shown = faults.iter().map(ToString::to_string).collect::<String>();
    expect_that!(shown, not(contains_substring("secret")));
    expect_that!(
        Tokens::parse("# nobody\n").err(),
        some(elements_are![eq(&TokenFault::Empty)])
    );
    let tokens = Tokens::parse("ann secret-secret-secret").expect("a list");
    expect_that!(format!("{tokens:?}"), not(contains_substring("secret")));
    expect_that!(tokens.operator(b"secret-secret-secret"), some(eq("ann")));
    expect_that!(tokens.operator(b"secret-secret-secre"), none());
}
