//! The event numbers in the code and in the catalogue are the same.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use googletest::prelude::*;

/// Characters of an event number.
const NUMBER_LEN: usize = 6;

fn files(folder: &Path, ending: &str, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            files(&path, ending, found);
        } else if path.extension().is_some_and(|it| it == ending) {
            found.push(path);
        }
    }
}

fn numbers(text: &str, mark: &str) -> BTreeSet<String> {
    let places = text
        .match_indices(mark)
        .map(|(place, _)| place + mark.len() - "CP".len());
    let words = places.filter_map(|place| text.get(place..place + NUMBER_LEN));
    words
        .filter(|word| word["CP".len()..].bytes().all(|byte| byte.is_ascii_digit()))
        .map(str::to_owned)
        .collect()
}

fn collect(folder: &Path, ending: &str, mark: &str) -> BTreeSet<String> {
    let mut found = Vec::new();
    files(folder, ending, &mut found);
    let texts = found
        .iter()
        .map(|path| fs::read_to_string(path).expect("a text"));
    texts.flat_map(|text| numbers(&text, mark)).collect()
}

#[gtest]
fn the_code_and_the_catalogue_have_the_same_numbers() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let crates = ["daemon", "ctl", "journal", "wire", "policy"];
    let mut sources: Vec<PathBuf> = crates
        .map(|it| root.join("crates").join(it).join("src"))
        .to_vec();
    sources.push(root.join("platform/src"));
    let code: BTreeSet<String> = sources
        .iter()
        .flat_map(|folder| collect(folder, "rs", "\"CP"))
        .collect();
    let catalogue = collect(&root.join("docs/events"), "md", "### CP");
    let missing: Vec<&String> = code.difference(&catalogue).collect();
    let stale: Vec<&String> = catalogue.difference(&code).collect();
    expect_that!(missing, is_empty(), "in the code, not in docs/events");
    expect_that!(stale, is_empty(), "in docs/events, not in the code");
}
