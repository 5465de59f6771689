//! Routes, API keys and declarations of the catalogue.

use std::{sync::Arc, time::Duration};

use citron_policy::{
    catalogue::{Account, Backend, Catalogue, Change, Class, Entry, Fault, Key, Kind, Service},
    declaration::Declaration,
    feed::{Feed, Settings, Snapshot, Step, Update},
    route::{self, Repeat, Route},
    state::{Answer, Command, Limits, Machine},
};
use googletest::prelude::*;

fn class() -> Entry {
    Entry::Class(Arc::new(Class {
        name: "c".to_owned(),
        owner: "desk".to_owned(),
        tier: 1,
        first_token: Duration::from_millis(500),
        between_tokens: Duration::from_millis(50),
        whole: Duration::from_secs(5),
        wait_bound: Duration::from_secs(5),
        queue_limit: 10,
        preemptible: false,
    }))
}

fn service(name: &str) -> Entry {
    Entry::Service(Arc::new(Service {
        name: name.to_owned(),
        owner: "desk".to_owned(),
        backend: Backend::Plain,
        class: "c".to_owned(),
        once: Vec::new(),
        max_running_per_runner: 4,
        retry_percent: 10,
        refusal_statuses: Vec::new(),
        timeout: Duration::from_secs(5),
        max_body_bytes: 1_000,
        memory_tokens: 0,
        scaling: None,
    }))
}

fn route(name: &str, prefix: &str, backends: &[(&str, u32)]) -> Route {
    let backends = backends.iter().map(|(service, weight)| route::Backend {
        service: (*service).to_owned(),
        weight: *weight,
    });
    Route {
        name: name.to_owned(),
        owner: "desk".to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        class: "c".to_owned(),
        backends: backends.collect(),
        repeat: Repeat::Never,
        stream: false,
        attempts: 1,
        timeout: Duration::from_secs(1),
        public: false,
    }
}

fn change(puts: Vec<Entry>, removes: Vec<Key>) -> Change {
    Change {
        id: "c1".to_owned(),
        operator: "ann".to_owned(),
        puts,
        removes,
        ..Change::default()
    }
}

fn base() -> Catalogue {
    let puts = vec![class(), service("s1"), service("s2")];
    let change = change(puts, Vec::new());
    Catalogue::default().apply(&change).expect("a catalogue")
}

fn with(catalogue: &Catalogue, route: Route) -> std::result::Result<Catalogue, Fault> {
    catalogue.apply(&change(vec![Entry::Route(Arc::new(route))], Vec::new()))
}

#[gtest]
fn the_longest_prefix_decides() {
    let catalogue = with(&base(), route("all", "/", &[("s1", 1)])).expect("a route");
    let catalogue = with(&catalogue, route("deep", "/a/b/", &[("s2", 1)])).expect("a route");
    let catalogue = with(&catalogue, route("mid", "/a/", &[("s1", 1)])).expect("a route");
    let name = |path: &str| {
        let found = catalogue.route("shop.example", path);
        found.map(|it| it.name.clone()).unwrap_or_default()
    };
    expect_that!(name("/a/b/c"), eq("deep"));
    expect_that!(name("/a/bc"), eq("mid"));
    expect_that!(name("/x"), eq("all"));
    expect_that!(catalogue.route("other.example", "/x"), none());
}

#[gtest]
fn a_removed_route_is_not_found() {
    let catalogue = with(&base(), route("r", "/a/", &[("s1", 1)])).expect("a route");
    let key = Key {
        kind: Kind::Route,
        name: "r".to_owned(),
    };
    let catalogue = catalogue
        .apply(&change(Vec::new(), vec![key]))
        .expect("a change");
    expect_that!(catalogue.route("shop.example", "/a/1"), none());
}

#[gtest]
fn invalid_routes_are_rejected() {
    let catalogue = with(&base(), route("r", "/a/", &[("s1", 1)])).expect("a route");
    let same = with(&catalogue, route("r2", "/a/", &[("s1", 1)]));
    expect_that!(matches!(same, Err(Fault::SamePlace { .. })), eq(true));
    let unknown = with(&catalogue, route("r2", "/b/", &[("s9", 1)]));
    expect_that!(matches!(unknown, Err(Fault::Missing { .. })), eq(true));
    let weightless = with(&catalogue, route("r2", "/b/", &[("s1", 0)]));
    expect_that!(matches!(weightless, Err(Fault::Range { .. })), eq(true));
    let unterminated = with(&catalogue, route("r2", "/b", &[("s1", 1)]));
    expect_that!(matches!(unterminated, Err(Fault::Range { .. })), eq(true));
}

#[gtest]
fn backends_are_drawn_by_weight() {
    let route = route("r", "/", &[("s1", 90), ("s2", 10), ("s3", 0)]);
    let drawn = (0..100).filter_map(|chance| route.backend(chance));
    let second = drawn.filter(|it| *it == "s2").count();
    expect_that!(second, eq(10));
    expect_that!(route.allows("s3"), eq(false));
}

#[gtest]
fn each_key_finds_its_account_until_it_is_removed() {
    let account = |keys: &[char]| {
        let digest = |it: &char| it.to_string().repeat(64);
        Account {
            name: "a".to_owned(),
            owner: "desk".to_owned(),
            class: "c".to_owned(),
            key_sha256: digest(&keys[0]),
            further_keys_sha256: keys[1..].iter().map(digest).collect(),
            max_running: 1,
            ..Account::default()
        }
    };
    let put = |it: Account| change(vec![Entry::Account(Arc::new(it))], Vec::new());
    let catalogue = base()
        .apply(&put(account(&['a', 'b'])))
        .expect("an account");
    expect_that!(
        catalogue.account_by_digest(&"b".repeat(64)),
        some(anything())
    );
    let catalogue = catalogue.apply(&put(account(&['a']))).expect("a change");
    expect_that!(catalogue.account_by_digest(&"b".repeat(64)), none());
    let other = Account {
        name: "t".to_owned(),
        ..account(&['c', 'a'])
    };
    let same = catalogue.apply(&put(other));
    expect_that!(matches!(same, Err(Fault::SameKey { .. })), eq(true));
}

fn declaration(version: u64, text: &str) -> Arc<Declaration> {
    Arc::new(Declaration {
        version,
        source: Arc::from(text.as_bytes()),
    })
}

#[gtest]
fn the_highest_version_stays_in_force() {
    let mut machine = Machine::new(Limits::default());
    let mut declare = |index, version, text| {
        let command = Command::Declare(declaration(version, text));
        let applied = machine.apply(index, &command);
        let held = Arc::clone(machine.declaration().expect("a declaration"));
        (applied, held)
    };
    let (applied, _) = declare(1, 7, "seven");
    expect_that!(applied.answer, eq(&Answer::Declared(7)));
    // Resending a version has no effect, also with other content.
    for text in ["seven", "other"] {
        let (applied, held) = declare(2, 7, text);
        expect_that!(applied.answer, eq(&Answer::Declared(7)));
        expect_that!(applied.update, none());
        expect_that!(held.source.as_ref(), eq(&b"seven"[..]));
    }
    let (applied, held) = declare(4, 5, "five");
    expect_that!(applied.answer, eq(&Answer::Declared(7)));
    expect_that!(held.version, eq(7));
    let (applied, held) = declare(5, 12, "twelve");
    expect_that!(applied.update, some(anything()));
    expect_that!(held.version, eq(12));
}

#[gtest]
fn a_view_never_goes_back_to_an_older_declaration() {
    let mut feed = Feed::new(Settings::default());
    let snapshot = |index, version| Snapshot {
        index,
        catalogue: Arc::default(),
        declaration: Some(declaration(version, "text")),
        marks: Arc::default(),
    };
    expect_that!(feed.apply_snapshot(snapshot(5, 9)), eq(true));
    expect_that!(feed.apply_snapshot(snapshot(6, 8)), eq(false));
    let older = Update {
        index: 7,
        step: Step::Declare(declaration(4, "older")),
    };
    let local = citron_policy::feed::Local::Update(older);
    feed.apply_local(local);
    let held = feed.view().declaration.as_ref().map(|it| it.version);
    expect_that!(held, some(eq(9)));
}
