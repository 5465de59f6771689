//! The operators' tool: from declarations in files to changes of the cluster.
//!
//! Declarations are read and checked as a whole before anything is sent, so
//! that one run shows every fault with its file and line. What is sent is the
//! difference to the catalogue that was just read, against its revision: two
//! operators who race each other get a conflict, never a lost change.

pub mod client;
pub mod command;
pub mod declaration;
pub mod exit;
pub mod plan;
pub mod settings;
pub mod trail;
