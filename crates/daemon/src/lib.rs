//! The router daemon: adapters around the decisions of `citron-policy`.
//!
//! This crate does all I/O: callers, upstreams, peers, the platform's list, the
//! disk, metrics and traces. One thread runs everything, so that adapters share
//! state without locks. A control replica's disk work has its own thread, since
//! a sync must not delay a stream.

pub mod admin;
pub mod buffers;
pub mod callers;
pub mod clock;
pub mod control;
pub mod duty;
pub mod edge;
pub mod event;
pub mod exchange;
mod fingerprint;
pub mod follow;
pub mod gossip;
pub mod handle;
pub mod http;
pub mod loop_lag;
pub mod metrics;
pub mod operators;
pub mod output;
pub mod peers;
pub mod platform;
pub mod run;
pub mod settings;
pub mod shared_hosts;
pub mod slots;
pub mod socket;
pub mod trace;
pub mod upstream;
