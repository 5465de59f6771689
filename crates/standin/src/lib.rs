//! Small fakes at the router's interfaces, and a driver that loads it.
//!
//! Engine, service and platform are what the router meets outside: each speaks
//! just enough of its protocol, counts what it did so that a test can judge,
//! and misbehaves on command (`POST /fault`). They write their answers on the
//! connection themselves, since a fault such as a cut or doubled answer is
//! exactly what a well-made HTTP server refuses to send. Nothing here is linked
//! by the daemon.

pub mod cli;
pub mod engine;
pub mod fault;
pub mod load;
pub mod platform;
pub mod server;
pub mod service;
