//! Operators' tokens.

use citron_daemon::operators::{Fault, Operators};
use googletest::prelude::*;

#[gtest]
fn a_token_finds_its_operator_and_nothing_else_does() {
    let operators = Operators::parse("# shift A\nann 0123456789abcdef\n\nben fedcba9876543210\n")
        .expect("operators");
    expect_that!(
        operators.find("fedcba9876543210").map(|it| it.name.clone()),
        some(eq("ben"))
    );
    expect_that!(
        operators.find("fedcba987654321").map(|it| it.name.clone()),
        none()
    );
    expect_that!(operators.find("").map(|it| it.name.clone()), none());
    expect_that!(
        format!("{operators:?}"),
        not(contains_substring("0123456789abcdef"))
    );
}

#[gtest]
fn a_line_that_makes_no_sense_is_named() {
    expect_that!(
        Operators::parse("ann 0123456789abcdef\nben short"),
        err(matches_pattern!(Fault::Line { line: eq(&2) }))
    );
    expect_that!(
        Operators::parse("\n# nobody\n"),
        err(matches_pattern!(Fault::Empty))
    );
}
