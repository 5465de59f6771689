//! A cluster of replicas in this process, on files that can be refused.

pub mod cluster;
pub mod files;
