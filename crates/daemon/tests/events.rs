//! The event numbers and fields in the code match those in `docs/events`.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

use googletest::prelude::*;

/// Length of an event number, in characters.
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

/// Collects the fields of structured log lines in a source text, by event number.
fn fields(text: &str, found: &mut BTreeMap<String, BTreeSet<String>>) {
    let mark = "event = \"";
    for (place, _) in text.match_indices(mark) {
        let rest = &text[place + mark.len()..];
        let Some(end) = rest.find(';') else { continue };
        let mut words = rest[..end].splitn(2, '"');
        let number = words.next().unwrap_or_default().to_owned();
        let names = split(words.next().unwrap_or_default());
        found.entry(number).or_default().extend(names);
    }
}

/// Field names in `, a = x, b:% = f(y, z), c`.
fn split(list: &str) -> BTreeSet<String> {
    let mut depth = 0_i32;
    let parts = list.split(|letter: char| {
        match letter {
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth -= 1,
            _ => {}
        }
        letter == ',' && depth == 0
    });
    let names = parts.map(|part| part.split([':', '=']).next().unwrap_or_default().trim());
    names
        .filter(|it| !it.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Sections of the event catalogue by event number, each with the head of its page.
/// A section that refers to another one with `as for` includes that one's text.
fn sections(folder: &Path) -> BTreeMap<String, String> {
    let mut found = Vec::new();
    files(folder, "md", &mut found);
    let mut texts = BTreeMap::new();
    for path in found {
        let page = fs::read_to_string(path).expect("a text");
        let mut parts = page.split("\n### ");
        let head = parts.next().unwrap_or_default();
        for section in parts {
            let (number, text) = section.split_at(NUMBER_LEN);
            texts.insert(number.to_owned(), format!("{head}{text}"));
        }
    }
    let whole = texts.clone();
    for text in texts.values_mut() {
        let others = numbers(text, "as for CP");
        let others: Vec<&String> = others.iter().filter_map(|it| whole.get(it)).collect();
        for other in others {
            text.push_str(other);
        }
    }
    texts
}

#[gtest]
fn the_catalogue_names_every_field_of_a_structured_line() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut sources = Vec::new();
    for folder in ["crates/daemon/src", "platform/src"] {
        files(&root.join(folder), "rs", &mut sources);
    }
    let mut code = BTreeMap::new();
    for path in sources {
        fields(&fs::read_to_string(path).expect("a text"), &mut code);
    }
    assert!(code.len() > 10, "structured lines are found");
    let catalogue = sections(&root.join("docs/events"));
    for (number, names) in code {
        let text = catalogue.get(&number).map_or("", String::as_str);
        for name in names {
            let word = format!("`{name}`");
            expect_that!(text, contains_substring(word.as_str()), "{number}");
        }
    }
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
