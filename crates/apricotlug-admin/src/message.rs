//! Requests and answers of the API.

use std::{fmt, str::FromStr};

use apricotlug_config::{chunk::Manifest, diff::Change};
use apricotlug_model::{Bundle, BundleVersion, HashSet, UnixTime};
use serde::{Deserialize, Serialize};

use crate::OperatorId;

/// Who signed off which version, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHead {
    /// Version.
    pub version: BundleVersion,
    /// Operator.
    pub signed_by: OperatorId,
    /// Point of the sign-off.
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

/// Signed-off versions, the newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Versions.
    pub versions: Vec<BundleHead>,
}

/// Answer to a check without findings.
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
    /// Changes, one a line.
    pub changes: Vec<String>,
}

impl DiffReply {
    /// Creates the answer.
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
    /// The bundle is in force.
    Accepted {
        /// Its head.
        head: BundleHead,
    },
    /// Another bundle was first; answered with status 409.
    Conflict {
        /// Head of the bundle in force.
        winner: BundleHead,
        /// Changes from the bundle in force to the refused one, one a line.
        changes: Vec<String>,
    },
}

/// State of a client account's key. Hashes are not shown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyStatus {
    /// Public id.
    pub id: String,
    /// Client account.
    pub account: String,
    /// Whether it is withdrawn, by the bundle or since.
    pub is_withdrawn: bool,
    /// Instances that have not confirmed the withdrawal.
    pub unconfirmed: Vec<String>,
}

/// Keys of all client accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// Keys by id.
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

/// Answer to a withdrawal. It is in force here; others follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawReply {
    /// Public id of the key.
    pub key: String,
    /// Whether the platform surely holds the withdrawal.
    pub is_stored: bool,
    /// Instances that have not confirmed it yet.
    pub unconfirmed: Vec<String>,
}

/// What a drain covers.
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

    /// Returns the word that paths use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Endpoint => "endpoint",
            Self::DataCentre => "data-centre",
            Self::Region => "region",
        }
    }

    /// Tells whether the bundle has such an entry.
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

/// One drain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Drain {
    /// What it covers.
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

/// What an operator may do with a running move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveCommand {
    /// Hold it at its stage; its deadline stays.
    Pause,
    /// Let it go on.
    Resume,
    /// Take it back.
    TakeBack,
}

/// What a look-up would answer, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Address of the client.
    pub client: String,
    /// Home site of its block, where one is known.
    pub home: Option<String>,
    /// Addresses of entry instances, the best first.
    pub instances: Vec<String>,
    /// Steps of the decision, in their order.
    pub steps: Vec<String>,
}
