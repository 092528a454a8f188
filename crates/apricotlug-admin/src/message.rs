//! Request and response types of the administration API.

use std::{fmt, str::FromStr};

use apricotlug_config::{chunk::Manifest, diff::Change};
use apricotlug_model::{Bundle, BundleVersion, HashSet, UnixTime};
use serde::{Deserialize, Serialize};

use crate::OperatorId;

/// Record of one sign-off: version, operator and time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHead {
    /// Version that was signed off.
    pub version: BundleVersion,
    /// Id of the key of the operator who signed off.
    pub signed_by: OperatorId,
    /// Time of the sign-off, in microseconds since the Unix epoch.
    pub signed_at: UnixTime,
}

impl From<&Manifest> for BundleHead {
    fn from(manifest: &Manifest) -> Self {
        Self {
            version: manifest.version,
            signed_by: OperatorId(manifest.signed_by.clone()),
            signed_at: manifest.signed_at,
        }
    }
}

/// Signed-off versions, newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Sign-offs, newest first.
    pub versions: Vec<BundleHead>,
}

/// Response to a check without findings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckReply {
    /// Version of the checked bundle.
    pub version: BundleVersion,
}

/// Differences from the bundle in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiffReply {
    /// Version in force; `None` before the first sign-off.
    pub in_force: Option<BundleVersion>,
    /// Changes, one per line.
    pub changes: Vec<String>,
}

impl DiffReply {
    /// Creates the response from the changes that a comparison gave.
    #[must_use]
    pub fn new(in_force: Option<BundleVersion>, changes: &[Change]) -> Self {
        let changes = changes.iter().map(ToString::to_string).collect();
        Self { in_force, changes }
    }
}

/// Outcome of a sign-off that was not refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum SignOffReply {
    /// The bundle is now in force.
    Accepted {
        /// Record of the sign-off.
        head: BundleHead,
    },
    /// Another bundle was signed off first; the HTTP status is 409.
    Conflict {
        /// Record of the sign-off of the bundle in force.
        winner: BundleHead,
        /// Changes from the bundle in force to the refused one, one per line.
        changes: Vec<String>,
    },
}

/// State of a client account's key. Hashes are not shown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyStatus {
    /// Public id of the key.
    pub id: String,
    /// Id of the client account that the key belongs to.
    pub account: String,
    /// Whether the key is withdrawn, by the bundle or by a later withdrawal.
    pub is_withdrawn: bool,
    /// Names of the instances that have not confirmed the withdrawal.
    pub unconfirmed: Vec<String>,
}

/// Keys of all client accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// Keys, sorted by public id.
    pub keys: Vec<KeyStatus>,
}

impl Keys {
    /// Lists the keys. `unconfirmed` returns the instances that have not confirmed a withdrawal.
    #[must_use]
    pub fn list(
        bundle: &Bundle,
        withdrawn: &HashSet<String>,
        unconfirmed: impl Fn(&str) -> Vec<String>,
    ) -> Self {
        let keys = bundle.credentials.iter().map(|(id, credential)| KeyStatus {
            id: id.clone(),
            account: bundle.accounts[credential.account].id.clone(),
            is_withdrawn: credential.is_withdrawn || withdrawn.contains(id),
            unconfirmed: unconfirmed(id),
        });
        Self {
            keys: keys.collect(),
        }
    }
}

/// Response to a withdrawal. It is in force on the responding instance; the others follow by
/// gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawReply {
    /// Public id of the key.
    pub key: String,
    /// Whether the platform has confirmed that it stored the withdrawal.
    pub is_stored: bool,
    /// Names of the instances that have not confirmed the withdrawal yet.
    pub unconfirmed: Vec<String>,
}

/// Set of endpoints that a drain covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainScope {
    /// One endpoint.
    Endpoint,
    /// All endpoints of a data centre.
    DataCentre,
    /// All endpoints of a region.
    Region,
}

impl DrainScope {
    const ALL: [Self; 3] = [Self::Endpoint, Self::DataCentre, Self::Region];

    /// Returns the name of the scope in paths.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Endpoint => "endpoint",
            Self::DataCentre => "data-centre",
            Self::Region => "region",
        }
    }

    /// Tells whether the bundle has an entry of this kind with the given id.
    #[must_use]
    pub fn is_known(self, bundle: &Bundle, id: &str) -> bool {
        match self {
            Self::Endpoint => bundle.endpoints.values().any(|row| row.id == id),
            Self::DataCentre => bundle.data_centres.values().any(|row| row.id == id),
            Self::Region => bundle.regions.values().any(|row| row.id == id),
        }
    }
}

impl fmt::Display for DrainScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for DrainScope {
    type Err = crate::Problem;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let scope = Self::ALL.into_iter().find(|scope| scope.as_str() == text);
        scope.ok_or_else(|| crate::Problem::unknown("scope of drains", text))
    }
}

/// Drain of an endpoint, a data centre or a region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Drain {
    /// Set of endpoints that the drain covers.
    pub scope: DrainScope,
    /// Id of the endpoint, data centre or region.
    pub id: String,
}

/// Drains that operators started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drains {
    /// Drains by scope and id.
    pub drains: Vec<Drain>,
}

/// Command of an operator on a version move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveCommand {
    /// Holds the move at its stage; its deadline stays.
    Pause,
    /// Continues a paused move.
    Resume,
    /// Returns all traffic to the old version.
    TakeBack,
}

/// Answer that a look-up would give, with the steps of the decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// IP address of the client, as requested.
    pub client: String,
    /// Home site of the client's block; `None` where no block holds the address.
    pub home: Option<String>,
    /// Addresses of entry instances, best first.
    pub instances: Vec<String>,
    /// Steps of the decision, in order.
    pub steps: Vec<String>,
}
