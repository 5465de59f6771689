//! Settings: their sources and the reporting of their faults.

use std::process::Command;

use citron_daemon::settings::{Fault, Request, Settings, help};
use googletest::prelude::*;
use indexmap::IndexMap;

const REQUIRED: [&str; 8] = [
    "--instance",
    "e1",
    "--domain=fd1",
    "--cluster",
    "test",
    "--platform",
    "http://127.0.0.1:7400/",
    "--operator-tokens=ann 0123456789abcdef",
];

fn read(
    arguments: &[&str],
    variables: &[(&str, &str)],
) -> std::result::Result<Settings, Vec<Fault>> {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let variables: IndexMap<&str, &str> = variables.iter().copied().collect();
    let request = Request::read(&arguments, |name| {
        variables.get(name).map(ToString::to_string)
    });
    match request {
        Ok(Request::Run(settings) | Request::Check(settings)) => Ok(settings),
        Ok(other) => panic!("{other:?} instead of settings"),
        Err(faults) => Err(faults.0),
    }
}

#[gtest]
fn a_flag_takes_precedence_over_its_variable() {
    let settings = read(
        &REQUIRED,
        &[("CITRON_INSTANCE", "e9"), ("CITRON_DRAIN_TIMEOUT", "90s")],
    )
    .expect("settings");
    expect_that!(settings.instance, eq("e1"));
    expect_that!(settings.drain_timeout.as_secs(), eq(90));
    expect_that!(settings.platform, eq("http://127.0.0.1:7400"));
}

#[gtest]
fn a_single_flag_can_come_from_its_variable() {
    let set = |value: &str| {
        let value = value.to_owned();
        Settings::default().with_variable("log-rate", |name| {
            (name == "CITRON_LOG_RATE").then(|| value.clone())
        })
    };
    expect_that!(set("7").expect("settings").log_rate, eq(7));
    let fault = set("many").expect_err("a fault").to_string();
    expect_that!(fault, contains_substring("--log-rate"));
    let untouched = Settings::default().with_variable("log-rate", |_| None);
    expect_that!(untouched.expect("settings").log_rate, eq(100));
}

#[gtest]
fn all_faults_are_reported_at_once() {
    let faults = read(
        &["--callers", "here", "--nonsense", "x", "--max-body-bytes=0"],
        &[],
    )
    .expect_err("faults");
    let text: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let reported = |part: &str| text.iter().any(|line| line.contains(part));
    for part in [
        "--callers",
        "--nonsense",
        "--max-body-bytes",
        "CITRON_INSTANCE",
        "CITRON_CLUSTER",
        "operator",
    ] {
        expect_true!(reported(part), "no fault names {part}: {text:?}");
    }
}

#[gtest]
fn two_listeners_do_not_share_an_address() {
    let mut arguments = REQUIRED.to_vec();
    arguments.extend(["--callers", "127.0.0.1:9000", "--admin", "127.0.0.1:9000"]);
    let faults = read(&arguments, &[]).expect_err("a fault");
    expect_that!(
        faults,
        elements_are![matches_pattern!(Fault::SameAddress { .. })]
    );
}

#[gtest]
fn tokens_are_not_shown() {
    let settings = read(&REQUIRED, &[]).expect("settings");
    expect_that!(
        format!("{settings:?}"),
        not(contains_substring("0123456789abcdef"))
    );
}

#[gtest]
fn the_help_names_each_flag_with_its_variable() {
    let text = help();
    expect_that!(text, contains_substring("--operator-token-file FILE"));
    expect_that!(
        text,
        contains_substring("[env: CITRON_OPERATOR_TOKEN_FILE]")
    );
}

#[gtest]
fn wrong_settings_end_the_process_with_code_two() {
    let output = Command::new(env!("CARGO_BIN_EXE_citrond"))
        .args(["--check", "--instance", "a b"])
        .env_clear()
        .output()
        .expect("citrond runs");
    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(
        String::from_utf8_lossy(&output.stderr),
        contains_substring("--instance")
    );
}
