//! The router's decision logic, as pure functions and state machines.
//!
//! Nothing here performs I/O, reads a clock or owns a random number generator:
//! the current time and the random source are arguments, and results are
//! returned as effects for the caller to execute. Every rule can therefore be
//! tested with messages dropped, duplicated, delayed or reordered.
//!
//! Each module implements one mechanism; its head states what it guarantees.

pub mod arbiter;
pub mod autoscale;
pub mod buffer;
pub mod catalogue;
pub mod crash;
pub mod declaration;
pub mod detour;
pub mod discovery;
pub mod feed;
pub mod id;
pub mod leader_search;
pub mod lease;
pub mod ledger;
pub mod member;
pub mod platform;
pub mod raft;
pub mod relay;
pub mod requester;
pub mod retry;
pub mod route;
pub mod silence;
pub mod standstill;
pub mod state;
pub mod stream;
pub mod swim;
pub mod usage;
pub mod work;
