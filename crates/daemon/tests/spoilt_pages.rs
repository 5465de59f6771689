//! Work that a damaged page of a list causes.

use citron_daemon::platform::{
    page::{self, Layout},
    scan::Scanner,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use serde::de::IgnoredAny;

/// Texts of the property test.
const TEXTS: u64 = 4_000;

/// Most times that the bytes of a page may be looked at, on average.
const MAX_LOOKS: usize = 6;

const LAYOUTS: [Layout; 2] = [
    Layout {
        arrays: &["instances"],
        last: Some("next"),
    },
    Layout {
        arrays: &["instances", "runners"],
        last: None,
    },
];

/// Pieces of which damaged pages are made.
const PIECES: [&str; 24] = [
    "{\"id\":\"",
    "],",
    "{\"a\":[",
    "[{",
    "{\"instances\":[",
    "],\"next\":null},",
    // The next entry was found, but the value after it has no end: each was read for 1 MB.
    "{},[",
    "{},{\"a\":[",
    "{},[{},\"",
    "{},[[[\"]\",",
    // The rest of the page was read again at each end of an array.
    "],\"a\":[{}",
    "],\"a\":[[{}]",
    "],\"a\":{\"b\":[{}]},\"c\":[{}",
    "{},],\"a\":\"\"",
    "],\"a\":\"],\"",
    "],\"runners\":[{}",
    // Objects and arrays that begin in what another scan takes for a string.
    "[{},\",[{},",
    "{},[\",[\",{\"\":",
    "[{\"\\\"\":\",[{},\\",
    ",[ \n\t",
    "{}, ]",
    "7,",
    "{},",
    "\"",
];

fn ignored_end(bytes: &[u8], place: usize) -> Option<usize> {
    let values = serde_json::Deserializer::from_slice(&bytes[place..]);
    let mut values = values.into_iter::<IgnoredAny>();
    values.next()?.ok()?;
    Some(place + values.byte_offset())
}

/// An end that is another one than the parser's would cut an entry or join two.
#[gtest]
fn a_scan_ends_where_the_parser_does() {
    let parts = [
        "{",
        "}",
        "[",
        "]",
        ",",
        ":",
        "\"",
        "\\",
        "{",
        "}",
        "[",
        "]",
        ",",
        "\"a\":",
        "\"b\":{",
        "\"\\u00e9\"",
        "\"\\ud800\"",
        "\"\\u00g0\"",
        "\"\\x\"",
        "\\\"",
        "\"\u{1}\"",
        "\"\n\"",
        "null",
        "true",
        "false",
        "nul",
        "0",
        "00",
        "-",
        "-0",
        "7",
        "1.5",
        "1.",
        ".5",
        "1e9",
        "1e",
        "1E+7",
        "1e-",
        "-1.5e-3",
        "1e999",
        " ",
        "\n",
        "\t",
        "\r",
        "\u{c}",
        "\u{e9}",
        "{}",
        "[]",
        "{},",
        "[],",
        "\"x\"",
        "[[[",
        "]]]",
    ];
    let mut ends = 0;
    for seed in 0..TEXTS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut bytes = Vec::new();
        for _ in 0..rng.random_range(1..60) {
            bytes.extend(parts.choose(&mut rng).expect("one").as_bytes());
        }
        if rng.random_bool(0.2) {
            let place = rng.random_range(0..bytes.len());
            bytes[place] = rng.random();
        }
        // What is remembered must not depend on the order of the questions.
        let mut scanner = Scanner::new(&bytes);
        for _ in 0..2 * bytes.len() {
            let place = rng.random_range(0..bytes.len());
            if !matches!(bytes[place], b'{' | b'[') {
                expect_that!(scanner.end(place), none());
                continue;
            }
            let expected = ignored_end(&bytes, place);
            ends += usize::from(expected.is_some());
            expect_that!(
                scanner.end(place),
                eq(expected),
                "seed {seed}, {place} of {}",
                String::from_utf8_lossy(&bytes)
            );
        }
    }
    expect_that!(ends, ge(1_000));
}

/// A page of 4 MB was parsed for up to 1 MB from each of a thousand places.
#[gtest]
fn no_damage_is_looked_at_over_and_over() {
    for (piece, layout) in PIECES
        .iter()
        .flat_map(|it| LAYOUTS.map(|layout| (it, layout)))
    {
        for size in [64 << 10, 1 << 20] {
            let mut text = b"{\"instances\":[".to_vec();
            text.extend(piece.repeat(size / piece.len()).into_bytes());
            let read = page::read_counting(&text, layout, |_, _| Ok(()));
            expect_that!(read.1, le(MAX_LOOKS * text.len()), "{piece} {size}");
        }
    }
}
