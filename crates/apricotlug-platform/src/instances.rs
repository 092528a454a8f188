//! The platform's list of live and leaving instances, which lags.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Client, Error, Result};

const PREFIX: &str = "platform/instances/";

/// State of an instance as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Serving, as far as the platform knows.
    Live,
    /// About to be replaced.
    Leaving,
}

/// Entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name.
    pub name: String,
    /// Addresses.
    pub addresses: Vec<SocketAddr>,
    /// Id of the data centre.
    pub data_centre: String,
    /// State.
    pub state: InstanceState,
}

impl InstanceRecord {
    /// Returns the key under which the platform lists an instance.
    #[must_use]
    pub fn key(name: &str) -> String {
        format!("{PREFIX}{name}")
    }
}

impl Client {
    /// Reads the platform's list of instances.
    ///
    /// # Errors
    /// When the platform can't be read or an entry is malformed.
    pub async fn instances(&self) -> Result<Vec<InstanceRecord>> {
        let (entries, _) = self.list(PREFIX).await?;
        entries
            .iter()
            .map(|entry| serde_json::from_slice(&entry.value))
            .collect::<Result<_, _>>()
            .map_err(|e| Error::Malformed(format!("{PREFIX}: {e}")))
    }
}
