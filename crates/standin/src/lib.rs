//! Test doubles for the systems around the router, and a load generator.
//!
//! The engine, service and platform stand-ins each implement the part of the
//! protocol that the router uses, count what they executed so that tests can
//! check it, and inject faults on request (`POST /fault`). They write responses
//! to the connection themselves, because an ordinary HTTP server refuses to
//! send a truncated or doubled response. The daemon does not link this crate.

pub mod cli;
pub mod engine;
pub mod fault;
pub mod load;
pub mod platform;
pub mod server;
pub mod service;
