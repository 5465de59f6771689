//! Digest that identifies equal requests, the same on every daemon.

use citron_policy::id::Fingerprint;
use xxhash_rust::xxh3::Xxh3;

/// Digest of the names that a request is addressed by, and of its body; never zero,
/// which stands for a request without identity.
///
/// Ids, deadlines and other headers are left out: they differ between two sends of
/// one request.
pub(crate) fn fingerprint(names: &[&str], body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for name in names {
        hash.update(name.as_bytes());
        hash.update(&[0]);
    }
    hash.update(body);
    hash.digest().max(1)
}

/// Formats a fingerprint for logs.
pub(crate) fn format(fingerprint: Fingerprint) -> String {
    format!("{fingerprint:016x}")
}
