//! An in-memory folder that fails or stops at a chosen operation, and that
//! loses, tears or keeps unsynced data.

#![allow(dead_code, reason = "each test program uses another part")]
use std::{cell::RefCell, collections::BTreeSet, io, rc::Rc};

use citron_journal::Files;

/// Bytes that a torn write keeps or loses as a unit.
const BLOCK_BYTES: usize = 16;

/// An operation that the disk silently skips, to check that the tests detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Omission {
    /// Nothing is skipped.
    None,
    /// Syncs of the folder do nothing.
    FolderSync,
    /// Syncs of files with this name prefix do nothing.
    FileSync(&'static str),
    /// Truncations do nothing.
    Truncate,
}

/// What happens at the chosen operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It and all later operations do nothing: the process was killed.
    Stop,
    /// It does half of its work and fails; later operations would succeed.
    Fail,
    /// As [`Self::Fail`], and what a failed sync covered counts as written: later syncs
    /// skip it, unless it is written again.
    Forget,
}

/// What happens to unsynced data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// All of it is kept: only the process was lost.
    Nothing,
    /// None of it is kept.
    Everything,
    /// Any part of it is kept, chosen by this seed.
    Some(u64),
}

#[derive(Clone, Debug, Default)]
struct Inode {
    synced: Vec<u8>,
    live: Vec<u8>,
    /// Places that syncs skip.
    forgotten: BTreeSet<usize>,
}

impl Inode {
    /// Makes the content durable, except the places that syncs skip.
    fn sync(&mut self) {
        let kept = |at: usize| self.synced.get(at).copied().unwrap_or(0);
        let bytes = self.live.iter().enumerate();
        let synced = bytes.map(|(at, byte)| {
            if self.forgotten.contains(&at) {
                kept(at)
            } else {
                *byte
            }
        });
        self.synced = synced.collect();
    }

    /// Makes later syncs skip what is not durable.
    fn forget(&mut self) {
        let bytes = self.live.iter().enumerate();
        let lost = bytes.filter(|(at, byte)| self.synced.get(*at) != Some(*byte));
        self.forgotten.extend(lost.map(|(at, _)| at));
    }
}

#[derive(Clone, Debug)]
enum NameChange {
    Create(String, usize),
    Rename(String, String),
    Remove(String),
}

#[derive(Clone, Debug, Default)]
struct State {
    inodes: Vec<Inode>,
    synced: Vec<(String, usize)>,
    live: Vec<(String, usize)>,
    name_changes: Vec<NameChange>,
    operations: usize,
    fault: Option<(usize, Fault)>,
    omission: Option<Omission>,
    locked: bool,
}

/// The folder; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    state: Rc<RefCell<State>>,
}

impl Memory {
    /// An empty folder on a disk that skips one kind of operation.
    pub fn with_omission(omission: Omission) -> Self {
        let memory = Self::default();
        memory.state.borrow_mut().omission = Some(omission);
        memory
    }

    /// Injects a fault at the operation of this number, counted from now.
    pub fn inject(&self, at: usize, fault: Fault) {
        let mut state = self.state.borrow_mut();
        state.fault = Some((state.operations + at, fault));
    }

    /// A copy that shares nothing.
    pub fn fork(&self) -> Self {
        Self {
            state: Rc::new(RefCell::new(self.state.borrow().clone())),
        }
    }

    /// Operations so far.
    pub fn operations(&self) -> usize {
        self.state.borrow().operations
    }

    /// Restarts after the process or the machine was lost.
    pub fn restart(&self, loss: Loss) {
        let mut state = self.state.borrow_mut();
        state.fault = None;
        state.locked = false;
        match loss {
            Loss::Nothing => {}
            Loss::Everything => state.drop_unsynced(|()| false),
            Loss::Some(seed) => {
                let mut random = seed;
                state.drop_unsynced(|()| {
                    // A step of Knuth's MMIX generator; its high bits are random enough.
                    random = random
                        .wrapping_mul(6_364_136_223_846_793_005)
                        .wrapping_add(1_442_695_040_888_963_407);
                    random >> 63 == 0
                });
            }
        }
    }

    /// Changes a file's content without the journal.
    pub fn tamper<C>(&self, name: &str, change: C)
    where
        C: FnOnce(&mut Vec<u8>),
    {
        let mut state = self.state.borrow_mut();
        let inode = state.find(name).expect("the file exists");
        change(&mut state.inodes[inode].live);
        let live = state.inodes[inode].live.clone();
        state.inodes[inode].synced = live;
    }

    /// Removes a file without the journal.
    pub fn delete(&self, name: &str) {
        let mut state = self.state.borrow_mut();
        state.live.retain(|(it, _)| it != name);
        state.synced.retain(|(it, _)| it != name);
    }

    /// Creates or replaces a file without the journal.
    pub fn put(&self, name: &str, bytes: &[u8]) {
        self.delete(name);
        let mut state = self.state.borrow_mut();
        state.inodes.push(Inode {
            synced: bytes.to_vec(),
            live: bytes.to_vec(),
            ..Inode::default()
        });
        let inode = state.inodes.len() - 1;
        state.live.push((name.to_owned(), inode));
        state.synced.push((name.to_owned(), inode));
    }

    /// Names and contents of all files.
    pub fn files(&self) -> Vec<(String, Vec<u8>)> {
        let state = self.state.borrow();
        let content = |inode: usize| state.inodes[inode].live.clone();
        let files = state.live.iter();
        files
            .map(|(name, inode)| (name.clone(), content(*inode)))
            .collect()
    }

    fn operate<T, O>(&self, operation: O) -> io::Result<T>
    where
        O: FnOnce(&mut State, bool) -> io::Result<T>,
    {
        let mut state = self.state.borrow_mut();
        let number = state.operations;
        state.operations += 1;
        match state.fault {
            Some((at, Fault::Stop)) if number >= at => Err(io::Error::other("killed")),
            Some((at, Fault::Fail | Fault::Forget)) if number == at => {
                drop(operation(&mut state, true));
                Err(io::Error::other("input/output error"))
            }
            _ => operation(&mut state, false),
        }
    }
}

impl State {
    fn find(&self, name: &str) -> Option<usize> {
        let found = self.live.iter().find(|(it, _)| it == name);
        found.map(|(_, inode)| *inode)
    }

    fn require(&self, name: &str) -> io::Result<usize> {
        self.find(name)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn drop_unsynced<K>(&mut self, mut keep: K)
    where
        K: FnMut(()) -> bool,
    {
        for inode in &mut self.inodes {
            drop_unsynced_content(inode, &mut keep);
        }
        let mut names = std::mem::take(&mut self.synced);
        for change in std::mem::take(&mut self.name_changes) {
            if keep(()) {
                apply(&mut names, &change);
            }
        }
        self.live.clone_from(&names);
        self.synced = names;
    }
}

fn drop_unsynced_content<K>(inode: &mut Inode, keep: &mut K)
where
    K: FnMut(()) -> bool,
{
    let synced = std::mem::take(&mut inode.synced);
    let mut bytes = synced.clone();
    if keep(()) {
        bytes.resize(inode.live.len(), 0);
    }
    let blocks = bytes
        .chunks_mut(BLOCK_BYTES)
        .zip(inode.live.chunks(BLOCK_BYTES));
    for (block, live) in blocks {
        if keep(()) {
            let length = block.len().min(live.len());
            block[..length].copy_from_slice(&live[..length]);
        }
    }
    inode.live.clone_from(&bytes);
    inode.synced = bytes;
    inode.forgotten.clear();
}

fn apply(names: &mut Vec<(String, usize)>, change: &NameChange) {
    match change {
        NameChange::Create(name, inode) => names.push((name.clone(), *inode)),
        NameChange::Remove(name) => names.retain(|(it, _)| it != name),
        NameChange::Rename(from, to) => {
            if let Some(at) = names.iter().position(|(it, _)| it == from) {
                let (_, inode) = names.remove(at);
                names.retain(|(it, _)| it != to);
                names.push((to.clone(), inode));
            }
        }
    }
}

impl Files for Memory {
    fn lock(&mut self) -> io::Result<bool> {
        self.operate(|state, _| Ok(!std::mem::replace(&mut state.locked, true)))
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        self.operate(|state, _| Ok(state.live.iter().map(|(name, _)| name.clone()).collect()))
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.operate(|state, _| Ok(state.inodes[state.require(name)?].live.clone()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.operate(|state, partial| {
            let inode = state.find(name).unwrap_or_else(|| {
                state.inodes.push(Inode::default());
                let inode = state.inodes.len() - 1;
                let change = NameChange::Create(name.to_owned(), inode);
                apply(&mut state.live, &change);
                state.name_changes.push(change);
                inode
            });
            let length = if partial {
                bytes.len() / 2
            } else {
                bytes.len()
            };
            state.inodes[inode].live.extend_from_slice(&bytes[..length]);
            Ok(())
        })
    }

    fn rewrite(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.operate(|state, partial| {
            let inode = state.require(name)?;
            let forget = partial && matches!(state.fault, Some((_, Fault::Forget)));
            let inode = &mut state.inodes[inode];
            let start = usize::try_from(offset).expect("a small file");
            let found = inode.live.get(start..start + bytes.len());
            assert_eq!(found, Some(bytes), "{name} at {offset}");
            if forget {
                inode.forget();
            } else if !partial {
                let end = start + bytes.len();
                inode.forgotten.retain(|it| !(start..end).contains(it));
                inode.sync();
            }
            Ok(())
        })
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.operate(|state, partial| {
            let inode = state.require(name)?;
            let length = usize::try_from(length).expect("a small file");
            if !partial && state.omission != Some(Omission::Truncate) {
                state.inodes[inode].live.resize(length, 0);
                state.inodes[inode].forgotten.split_off(&length);
            }
            Ok(())
        })
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.operate(|state, partial| {
            let inode = state.require(name)?;
            let skipped = matches!(
                state.omission,
                Some(Omission::FileSync(prefix)) if name.starts_with(prefix)
            );
            if partial && matches!(state.fault, Some((_, Fault::Forget))) {
                state.inodes[inode].forget();
            } else if !partial && !skipped {
                state.inodes[inode].sync();
            }
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.operate(|state, partial| {
            state.require(from)?;
            if !partial {
                let change = NameChange::Rename(from.to_owned(), to.to_owned());
                apply(&mut state.live, &change);
                state.name_changes.push(change);
            }
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.operate(|state, partial| {
            state.require(name)?;
            if !partial {
                let change = NameChange::Remove(name.to_owned());
                apply(&mut state.live, &change);
                state.name_changes.push(change);
            }
            Ok(())
        })
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.operate(|state, partial| {
            if !partial && state.omission != Some(Omission::FolderSync) {
                state.name_changes.clear();
                state.synced = state.live.clone();
            }
            Ok(())
        })
    }
}
