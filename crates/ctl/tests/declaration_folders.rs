//! Folders of declarations of which a part is not read: with `--prune`, what is missing is
//! removed from the catalogue.

use std::{fs, os::unix::fs::symlink, path::Path};

use citron_ctl::declaration::Declaration;
use googletest::prelude::*;

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

fn write_class(folder: &Path, name: &str) {
    fs::create_dir_all(folder).expect("a folder");
    let text = CLASS.replace("repair", name);
    fs::write(folder.join(format!("{name}.toml")), text).expect("a file");
}

/// Folders below the ninth level are left out without a word.
#[gtest]
fn a_declaration_too_deep_to_be_read_is_a_fault() {
    let root = tempfile::tempdir().expect("a folder");
    write_class(root.path(), "near");
    write_class(&root.path().join("1/2/3/4/5/6/7/8/9"), "far");
    let read = Declaration::read(root.path());
    expect_that!(read.map(|_| "read without it"), err(anything()));
}

/// A link whose target is away, such as a file system that is not mounted.
#[gtest]
fn a_linked_folder_that_is_away_is_a_fault() {
    let root = tempfile::tempdir().expect("a folder");
    write_class(root.path(), "near");
    symlink(root.path().join("away"), root.path().join("team")).expect("a link");
    let read = Declaration::read(root.path());
    expect_that!(read.map(|_| "read without it"), err(anything()));
}
