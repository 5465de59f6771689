//! The platform's instance list, read over HTTP.
