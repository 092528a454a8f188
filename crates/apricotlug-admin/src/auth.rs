//! Authorisation of operators by personal keys.

use std::fmt;

use apricotlug_config::credential;
use apricotlug_model::{Bundle, HashSet, Role, SecretHash};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Hash that the secrets of unknown keys are verified against, so that a refusal takes as long as
/// for a known key.
const DUMMY_HASH: SecretHash = SecretHash {
    salt: [0; 16],
    digest: [0; 32],
};

/// Public id of an operator's key, as recorded in the history.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperatorId(pub String);

impl fmt::Display for OperatorId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Reason for which a call was denied. Unknown ids and wrong secrets give the same reason.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Denied {
    /// The call has no key, or one that is not of the form `id.secret`.
    #[error("no operator's key came with the call")]
    NoKey,
    /// The id is unknown or the secret is wrong.
    #[error("this is no operator's key")]
    InvalidKey,
    /// The key with this id is withdrawn.
    #[error("the key {0:?} is withdrawn")]
    Withdrawn(String),
    /// The operator's role does not cover the operation.
    #[error("this takes the role {needed:?}, the key has {held:?}")]
    Role {
        /// Role that the operation needs.
        needed: Role,
        /// Role that the operator's key has.
        held: Role,
    },
}

/// Returns the operator that a key belongs to if its role covers `needed`. Keys of client accounts
/// are never accepted.
///
/// # Errors
/// Returns the reason for which the call is denied.
pub fn authorise(
    bundle: &Bundle,
    withdrawn: &HashSet<String>,
    key: &str,
    needed: Role,
) -> Result<OperatorId, Denied> {
    let (id, secret) = credential::split(key).ok_or(Denied::NoKey)?;
    let operator = bundle.operators.get(id);
    let hash = operator.map_or(&DUMMY_HASH, |operator| &operator.hash);
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
