//! The one queue of a service: who runs next, and on which runner.
