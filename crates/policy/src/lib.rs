//! Every decision the router takes, as plain functions and state machines.
//!
//! Nothing here opens a socket, reads a clock or draws a random number of its
//! own: the present time and the random source are arguments, and what should
//! happen is returned as effects for an adapter to carry out. That keeps each
//! rule testable by hand, with messages dropped, doubled, delayed or reordered.
//!
//! The modules are the mechanisms; their heads say what each one promises.

pub mod arbiter;
pub mod catalogue;
pub mod crash;
pub mod declaration;
pub mod entry;
pub mod feed;
pub mod id;
pub mod ledger;
pub mod member;
pub mod platform;
pub mod raft;
pub mod relay;
pub mod requester;
pub mod retry;
pub mod route;
pub mod search;
pub mod silence;
pub mod state;
pub mod swim;
