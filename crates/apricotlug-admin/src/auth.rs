//! Authorisation of operators by keys of their own.

use std::fmt;

use apricotlug_config::credential;
use apricotlug_model::{Bundle, HashSet, Role, SecretHash};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Hash that unknown keys are compared with, so that they take as long as known ones.
const NO_HASH: SecretHash = SecretHash {
    salt: [0; 16],
    digest: [0; 32],
};

/// Public id of an operator's key, for the history.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperatorId(pub String);

impl fmt::Display for OperatorId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Why a call was denied. Unknown ids and wrong secrets are not told apart.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Denied {
    /// No key came with the call, or not as `id.secret`.
    #[error("no operator's key came with the call")]
    NoKey,
    /// No operator has this key.
    #[error("this is no operator's key")]
    InvalidKey,
    /// The key is withdrawn.
    #[error("the key {0:?} is withdrawn")]
    Withdrawn(String),
    /// The operator's role is too low.
    #[error("this takes the role {needed:?}, the key has {held:?}")]
    Role {
        /// Role that the operation needs.
        needed: Role,
        /// Role of the operator.
        held: Role,
    },
}

/// Returns the operator that a key belongs to, where its role covers the one needed. Keys of
/// client accounts are never accepted.
///
/// # Errors
/// Returns why the call is denied.
pub fn authorise(
    bundle: &Bundle,
    withdrawn: &HashSet<String>,
    key: &str,
    needed: Role,
) -> Result<OperatorId, Denied> {
    let (id, secret) = credential::split(key).ok_or(Denied::NoKey)?;
    let operator = bundle.operators.get(id);
    let hash = operator.map_or(&NO_HASH, |operator| &operator.hash);
    let is_verified = credential::verify(hash, secret);
    let operator = operator.filter(|_| is_verified).ok_or(Denied::InvalidKey)?;
    if withdrawn.contains(id) {
        return Err(Denied::Withdrawn(id.to_owned()));
    }
    if operator.role < needed {
        let held = operator.role;
        return Err(Denied::Role { needed, held });
    }
    Ok(OperatorId(id.to_owned()))
}
