//! Estimated sizes of commands, for the limits of queues and messages.

use std::mem;

use super::Command;
use crate::{
    catalogue::{Change, Entry, MAX_NAME_BYTES},
    crash,
    declaration::Declaration,
    lease,
    ledger::{Claim, Key, Outcome, Settle},
};

/// Estimated bytes of a catalogue entry's numbers and field tags.
const FIXED_BYTES: usize = 64;

/// Estimated size of a command in bytes.
pub(super) fn of_command(command: &Command) -> usize {
    match command {
        Command::Noop => 0,
        Command::Change { change, .. } => of_change(change),
        Command::Declare(it) => mem::size_of::<Declaration>() + it.source.len(),
        Command::Claim(claim) => mem::size_of::<Claim>() + of_key(&claim.key) + claim.daemon.len(),
        Command::Settle(settle) => {
            let answer = match &settle.outcome {
                Outcome::Done(stored) => stored.bytes(),
                Outcome::NotRun | Outcome::Unknown => 0,
            };
            mem::size_of::<Settle>() + of_key(&settle.key) + answer
        }
        Command::Crash(crash::Step::Suspected(marks)) => mem::size_of_val(marks.as_slice()),
        Command::Crash(_) => mem::size_of::<crash::Step>(),
        Command::Lease(_) => mem::size_of::<lease::Step>() + MAX_NAME_BYTES,
        Command::Usage(window) => {
            let names = window.counts.keys().map(String::len);
            FIXED_BYTES + names.sum::<usize>() + window.counts.len() * mem::size_of::<u64>()
        }
    }
}

fn of_key(key: &Key) -> usize {
    key.account.len() + key.name.len()
}

fn of_change(change: &Change) -> usize {
    let puts: usize = change.puts.iter().map(of_entry).sum();
    let removes: usize = change.removes.iter().map(|key| key.name.len() + 8).sum();
    change.id.len() + change.operator.len() + puts + removes
}

fn of_entry(entry: &Entry) -> usize {
    let texts = match entry {
        Entry::Account(it) => {
            let classes: usize = it.classes.iter().map(|class| class.len() + 2).sum();
            let keys: usize = it.digests().map(String::len).sum();
            it.name.len() + it.owner.len() + keys + it.class.len() + classes
        }
        Entry::Class(it) => it.name.len() + it.owner.len(),
        Entry::Service(it) => {
            let routes: usize = it
                .once
                .iter()
                .map(|route| route.method.len() + route.path.len() + 8)
                .sum();
            let statuses = it.refusal_statuses.len() * 3;
            it.name.len() + it.owner.len() + it.class.len() + routes + statuses
        }
        Entry::Route(it) => {
            let backends: usize = it.backends.iter().map(|it| it.service.len() + 8).sum();
            it.name.len() + it.owner.len() + it.host.len() + it.prefix.len() + backends
        }
    };
    FIXED_BYTES + texts
}
