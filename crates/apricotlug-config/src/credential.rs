//! API keys: made once, shown once, kept as salted hashes.

use apricotlug_model::SecretHash;
use rand::Rng;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::value;

const SECRET_BYTES: usize = 32;

/// New key: the text for its holder and the row for the bundle.
#[derive(Clone, PartialEq, Eq)]
pub struct NewKey {
    /// `id.secret`, to be handed to the holder and kept nowhere else.
    pub plain: String,
    /// Inline TOML table with id, salt and digest.
    pub row: String,
}

/// Tells whether a text may be the public id of a key: a name without `.`, which ends the id.
#[must_use]
pub fn is_id(text: &str) -> bool {
    value::is_name(text) && !text.contains('.')
}

/// Draws a key with the given public id.
pub fn generate(id: &str, rng: &mut impl Rng) -> NewKey {
    let mut secret = [0; SECRET_BYTES];
    rng.fill_bytes(&mut secret);
    let secret = hex::encode(secret);
    let mut salt = [0; 16];
    rng.fill_bytes(&mut salt);
    let hash = hash(salt, &secret);
    NewKey {
        plain: format!("{id}.{secret}"),
        row: row(id, &hash),
    }
}

/// Returns the inline TOML table of a key.
#[must_use]
pub fn row(id: &str, hash: &SecretHash) -> String {
    let salt = hex::encode(hash.salt);
    let digest = hex::encode(hash.digest);
    format!("{{ id = \"{id}\", salt = \"{salt}\", digest = \"{digest}\" }}")
}

/// Hashes a secret with a salt.
#[must_use]
pub fn hash(salt: [u8; 16], secret: &str) -> SecretHash {
    let digest = Sha256::new()
        .chain_update(salt)
        .chain_update(secret)
        .finalize();
    SecretHash {
        salt,
        digest: digest.into(),
    }
}

/// Tells whether a secret has the given hash, in time that does not depend on the digest.
#[must_use]
pub fn verify(expected: &SecretHash, secret: &str) -> bool {
    let actual = hash(expected.salt, secret);
    actual.digest.ct_eq(&expected.digest).into()
}

/// Splits a key, `id.secret`, into public id and secret.
#[must_use]
pub fn split(key: &str) -> Option<(&str, &str)> {
    let (id, secret) = key.split_once('.')?;
    (!id.is_empty() && !secret.is_empty()).then_some((id, secret))
}
