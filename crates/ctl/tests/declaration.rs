//! Declarations: all faults are reported with their locations, and the plan is
//! the difference to the catalogue.

use std::{
    fs,
    path::{Path, PathBuf},
};

use citron_ctl::{
    declaration::{Declaration, Fault, Reason, parse},
    plan::{Plan, Step},
};
use citron_policy::catalogue::Catalogue;
use googletest::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const CLASS: &str = r#"
[[class]]
name = "repair"
owner = "desk"
tier = 0
first_token_ms = 1500
between_tokens_ms = 34
whole_ms = 30000
wait_bound_ms = 5000
queue_limit = 100
"#;

fn faults_of(text: &str) -> Vec<Fault> {
    let mut faults = Vec::new();
    let declared = parse(Path::new("x.toml"), text, &mut faults);
    Declaration::collect(declared, &mut faults);
    faults
}

fn read(text: &str) -> Declaration {
    let mut faults = Vec::new();
    let declared = parse(Path::new("x.toml"), text, &mut faults);
    let declaration = Declaration::collect(declared, &mut faults);
    assert_eq!(faults, []);
    declaration
}

fn shown(text: &str) -> Vec<String> {
    faults_of(text).iter().map(ToString::to_string).collect()
}

fn applied(declaration: &Declaration, catalogue: &Catalogue) -> Catalogue {
    let plan = Plan::new(declaration, catalogue, true);
    let change = plan.change("c".to_owned(), catalogue.revision);
    catalogue.apply(&change).expect("a valid plan")
}

#[gtest]
fn both_examples_are_valid_and_complete() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for (name, entries) in [("kalahari", 12), ("karamanlis", 11)] {
        let declaration = Declaration::read(&root.join(name)).expect("no faults");
        expect_that!(declaration.entries.len(), eq(entries));
        let plan = Plan::new(&declaration, &Catalogue::default(), false);
        expect_that!(plan.check(&declaration, &Catalogue::default()), ok(eq(&())));
        let catalogue = applied(&declaration, &Catalogue::default());
        expect_true!(catalogue.services.values().any(|it| !it.once.is_empty()));
    }
}

#[gtest]
fn every_fault_of_an_entry_is_shown_with_its_line() {
    let text = r#"
[[class]]
name = "repair"
ownr = "desk"
tier = "high"
first_token_ms = 1500
between_tokens_ms = -3
whole_ms = 30000
queue_limit = 100
"#;
    expect_that!(
        shown(text),
        unordered_elements_are![
            contains_substring("x.toml:4: class/repair: unknown field \"ownr\""),
            contains_substring("x.toml:5: class/repair: field \"tier\": invalid type"),
            contains_substring("x.toml:7: class/repair: field \"between_tokens_ms\""),
            contains_substring("x.toml:2: class/repair: field \"owner\" is missing"),
            contains_substring("x.toml:2: class/repair: field \"wait_bound_ms\" is missing"),
        ]
    );
}

#[gtest]
fn a_fault_in_a_once_entry_is_shown_with_its_line() {
    let text = r#"
[[service]]
name = "ticketing"
owner = "desk"
backend = "balancer"
class = "repair"
max_running_per_runner = 4
timeout_ms = 1000
once = [
  { method = "POST", path = "/a" },
  { method = "POST", paht = "/b" },
]
"#;
    expect_that!(
        shown(text),
        unordered_elements_are![
            contains_substring("x.toml:5: service/ticketing: field \"backend\": unknown variant"),
            contains_substring(
                "x.toml:11: service/ticketing: field \"once\": unknown field `paht`"
            ),
        ]
    );
}

#[gtest]
fn faults_of_several_entries_and_kinds_are_shown_together() {
    let text = format!("{CLASS}{CLASS}\n[[clas]]\nname = 1\n[service]\nname = \"x\"\n");
    expect_that!(
        shown(&text),
        unordered_elements_are![
            contains_substring("x.toml:12: class/repair: is declared at x.toml:2 already"),
            contains_substring("x.toml:22: \"clas\" is no kind of entry"),
            contains_substring("x.toml:24: write each entry as a [[service]] table"),
        ]
    );
}

#[gtest]
fn a_syntax_error_is_a_fault_with_its_line() {
    let faults = faults_of("[[class]]\nname = \"a\nowner = 3\n");
    expect_that!(faults[0].location.line, eq(2));
    expect_that!(faults[0].reason, pat!(Reason::Syntax { .. }));
}

#[gtest]
fn duplicates_are_found_across_files() {
    let folder = tempfile::tempdir().expect("a folder");
    fs::create_dir(folder.path().join("sub")).expect("a folder");
    fs::write(folder.path().join("a.toml"), CLASS).expect("written");
    fs::write(folder.path().join("sub/b.toml"), CLASS).expect("written");
    fs::write(folder.path().join("notes.txt"), "no declaration").expect("written");
    let faults = Declaration::read(folder.path()).expect_err("a fault");
    expect_that!(faults.0.len(), eq(1));
    expect_that!(faults.to_string(), contains_substring("sub/b.toml:2"));
    expect_that!(faults.to_string(), contains_substring("a.toml:2 already"));
}

#[gtest]
fn nothing_to_read_is_a_fault() {
    let folder = tempfile::tempdir().expect("a folder");
    let empty = Declaration::read(folder.path()).expect_err("a fault");
    expect_that!(empty.0[0].reason, pat!(Reason::Empty));
    let missing = Declaration::read(&folder.path().join("none")).expect_err("a fault");
    expect_that!(missing.0[0].reason, pat!(Reason::Unreadable { .. }));
}

#[gtest]
fn faults_against_the_catalogue_come_with_their_place_all_at_once() {
    let bad = CLASS.replace("tier = 0", "tier = 9");
    let account = |name: &str, class: &str| {
        format!(
            "[[account]]\nname = \"{name}\"\nowner = \"desk\"\nkey_sha256 = \"{}\"\n\
             class = \"{class}\"\nmax_running = 1\nmax_queued = 1\n",
            name.repeat(64)
        )
    };
    let text = format!("{bad}{}{}", account("a", "repair"), account("b", "proofs"));
    let declaration = read(&text);
    let plan = Plan::new(&declaration, &Catalogue::default(), false);
    let faults = plan
        .check(&declaration, &Catalogue::default())
        .expect_err("faults");
    let shown: Vec<String> = faults.0.iter().map(ToString::to_string).collect();
    // The account that refers to the invalid class is not a further fault.
    expect_that!(
        shown,
        unordered_elements_are![
            contains_substring("x.toml:2: class/repair: tier must be 0 to 7"),
            contains_substring("x.toml:18: account/b refers to class/proofs"),
        ]
    );
}

#[gtest]
fn a_plan_holds_only_what_differs() {
    let before = applied(&read(CLASS), &Catalogue::default());
    let same = Plan::new(&read(CLASS), &before, true);
    expect_that!(same.steps, is_empty());
    let raised = read(&CLASS.replace("queue_limit = 100", "queue_limit = 200"));
    let plan = Plan::new(&raised, &before, false);
    expect_that!(plan.base, eq(1));
    expect_that!(plan.steps, elements_are![pat!(Step::Update { .. })]);
    expect_that!(
        plan.to_string(),
        contains_substring("queue_limit: 100 -> 200")
    );
    let other = read(&CLASS.replace("repair", "proofs"));
    expect_that!(
        Plan::new(&other, &before, false).steps,
        elements_are![pat!(Step::Create(_))]
    );
    let pruned = Plan::new(&other, &before, true);
    expect_that!(
        pruned.steps,
        elements_are![pat!(Step::Create(_)), pat!(Step::Remove(_))]
    );
    expect_that!(pruned.change("c".to_owned(), 1).removes.len(), eq(1));
}

/// Each part is valid once the parts before it are in force, even when API keys
/// move to other accounts and accounts to another class.
#[gtest]
fn a_large_plan_is_split_into_parts_that_are_valid_in_turn() {
    let accounts = |class: &str, prefix: &str| -> String {
        let accounts = (0..5_000).map(|number| {
            format!(
                "[[account]]\nname = \"{prefix}-{number}\"\nowner = \"desk\"\n\
                 key_sha256 = \"{number:064x}\"\nclass = \"{class}\"\nmax_running = 1\n\
                 max_queued = 1\n"
            )
        });
        accounts.collect()
    };
    let first = read(&format!("{CLASS}{}", accounts("repair", "old")));
    let renamed = CLASS.replace("repair", "proofs");
    let second = read(&format!("{renamed}{}", accounts("proofs", "new")));
    let mut catalogue = Catalogue::default();
    for declaration in [first, second] {
        let plan = Plan::new(&declaration, &catalogue, true);
        let parts = plan.parts();
        expect_that!(parts.len(), gt(1));
        for part in parts {
            let change = part.change("c".to_owned(), catalogue.revision);
            catalogue = catalogue.apply(&change).expect("a valid part");
        }
        expect_that!(Plan::new(&declaration, &catalogue, true).steps, is_empty());
    }
}

fn runner() -> TestRunner {
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn is_fault_or_entries(text: &str) -> std::result::Result<(), TestCaseError> {
    let mut faults = Vec::new();
    let declared = parse(&PathBuf::from("x.toml"), text, &mut faults);
    let lines = text.lines().count() + 1;
    prop_assert!(
        faults
            .iter()
            .all(|it| (1..=lines).contains(&it.location.line)),
        "{faults:?}"
    );
    prop_assert!(declared.len() <= lines);
    Ok(())
}

#[gtest]
fn arbitrary_text_is_a_fault_and_never_a_panic() {
    let outcome = runner().run(&".{0,200}", |text| is_fault_or_entries(&text));
    expect_that!(outcome, ok(eq(&())));
}

#[gtest]
fn damaged_declarations_are_a_fault_and_never_a_panic() {
    let whole = format!("{CLASS}[[service]]\nname = \"x\"\nonce = [{{ method = 1 }}]\n");
    let damage = (
        any::<prop::sample::Index>(),
        any::<prop::sample::Index>(),
        ".{0,12}",
    );
    let outcome = runner().run(&damage, |(start, length, text)| {
        let characters: Vec<char> = whole.chars().collect();
        let start = start.index(characters.len());
        let end = (start + length.index(40)).min(characters.len());
        let damaged: String = characters[..start]
            .iter()
            .copied()
            .chain(text.chars())
            .chain(characters[end..].iter().copied())
            .collect();
        is_fault_or_entries(&damaged)
    });
    expect_that!(outcome, ok(eq(&())));
}
