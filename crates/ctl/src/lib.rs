//! The operators' tool, which turns declaration files into cluster changes.
//!
//! All declarations are read and checked before anything is sent, so that one
//! run reports every fault with its file and line. A change is the difference to
//! the catalogue just read and names its revision as the base: when two operators
//! race, one gets a conflict and no change is lost.

pub mod client;
pub mod command;
pub mod declaration;
pub mod exit;
pub mod plan;
pub mod settings;
pub mod trail;
