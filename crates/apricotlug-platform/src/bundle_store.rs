//! The bundle in the platform: chunks under their hash, then the head, by compare-and-swap.

use std::fmt;

use apricotlug_model::BundleVersion;
use serde::{Deserialize, Serialize};

use crate::{Client, Entry, Error, Result, Swap, Watch, wire::Bytes};

const HEAD_KEY: &str = "bundle/head";
const CHUNK_PREFIX: &str = "bundle/chunk/";
const HISTORY_PREFIX: &str = "bundle/history/";

/// Name of a chunk: the hash of its bytes, chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkHash(pub [u8; 32]);

impl fmt::Display for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Head of the stored bundle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Manifest, opaque here.
    pub manifest: Vec<u8>,
    /// Entry that the next sign-off builds on.
    pub entry: Entry,
}

/// Outcome of a sign-off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SignOff {
    /// The bundle is in force.
    Accepted,
    /// Another operator was first; this bundle is not in force.
    Conflict {
        /// Head that stands.
        winner: Option<Box<Head>>,
    },
    /// The answer was lost: read the head to learn whether the bundle is in force.
    Unknown,
}

/// Stored form of a head: JSON, with the manifest in base64.
#[derive(Serialize, Deserialize)]
struct HeadWire {
    version: u64,
    manifest: Bytes,
}

impl TryFrom<Entry> for Head {
    type Error = Error;

    fn try_from(entry: Entry) -> Result<Self> {
        let wire: HeadWire = serde_json::from_slice(&entry.value)
            .map_err(|e| Error::Malformed(format!("{}: {e}", entry.key)))?;
        Ok(Self {
            version: BundleVersion(wire.version),
            manifest: wire.manifest.0,
            entry,
        })
    }
}

/// Bundle kept in the platform.
#[derive(Clone, Debug)]
pub struct BundleStore {
    client: Client,
}

impl BundleStore {
    /// Returns the store behind a client.
    #[must_use]
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// Signs a bundle off: writes the chunks, then the head where it still stands as `base`.
    /// The history entry of `base` is written before it is replaced, so that each head that was
    /// in force has one, whichever writer died in between.
    ///
    /// # Errors
    /// When the platform can't be asked, a value is too large, or the version is not above the
    /// one of `base`.
    pub async fn sign_off(
        &self,
        base: Option<&Head>,
        version: BundleVersion,
        manifest: &[u8],
        chunks: &[(ChunkHash, Vec<u8>)],
    ) -> Result<SignOff> {
        if base.is_some_and(|head| head.version >= version) {
            return Err(Error::Malformed(format!(
                "version {version} is not above the one in force"
            )));
        }
        let head = encode_head(version, manifest)?;
        for (hash, bytes) in chunks {
            self.write_chunk(*hash, bytes).await?;
        }
        if let Some(base) = base {
            self.write_history(base.version, &base.entry.value).await?;
        }
        let expected = base.map(|head| &head.entry);
        let swap = self
            .client
            .compare_and_swap(HEAD_KEY, expected, &head)
            .await?;
        match swap {
            Swap::Written { .. } => {
                if let Err(e) = self.write_history(version, &head).await {
                    tracing::warn!(%version, error = %e, "history entry left to the next sign-off");
                }
                Ok(SignOff::Accepted)
            }
            Swap::Conflict { current } => {
                let winner = current.map(Head::try_from).transpose()?.map(Box::new);
                Ok(SignOff::Conflict { winner })
            }
            Swap::Fenced | Swap::Unknown => Ok(SignOff::Unknown),
        }
    }

    /// Reads the head; `None` where no bundle was signed off yet.
    ///
    /// # Errors
    /// When the platform can't be asked or the head is malformed.
    pub async fn read_head(&self) -> Result<Option<Head>> {
        let entry = self.client.get(HEAD_KEY).await?;
        entry.map(Head::try_from).transpose()
    }

    /// Reads a chunk; `None` where it does not exist. The caller checks the hash.
    ///
    /// # Errors
    /// When the platform can't be asked.
    pub async fn read_chunk(&self, hash: ChunkHash) -> Result<Option<Vec<u8>>> {
        let entry = self.client.get(&chunk_key(hash)).await?;
        Ok(entry.map(|entry| entry.value))
    }

    /// Reads the head of a version that was in force earlier.
    ///
    /// # Errors
    /// When the platform can't be asked or the entry is malformed.
    pub async fn read_history(&self, version: BundleVersion) -> Result<Option<Head>> {
        let entry = self.client.get(&history_key(version)).await?;
        entry.map(Head::try_from).transpose()
    }

    /// Lists the heads that were in force, in the order of their versions.
    ///
    /// # Errors
    /// When the platform can't be asked or an entry is malformed.
    pub async fn list_history(&self) -> Result<Vec<Head>> {
        let (entries, _) = self.client.list(HISTORY_PREFIX).await?;
        entries.into_iter().map(Head::try_from).collect()
    }

    /// Watches the head from a revision on; each written entry converts into a [`Head`].
    #[must_use]
    pub fn watch_head(&self, from_revision: i64) -> Watch {
        self.client.watch(HEAD_KEY, from_revision)
    }

    async fn write_chunk(&self, hash: ChunkHash, bytes: &[u8]) -> Result<()> {
        // Equal hashes mean equal bytes, so a chunk that exists need not be sent again.
        let key = chunk_key(hash);
        if self.client.exists(&key).await? {
            return Ok(());
        }
        self.write_once(&key, bytes).await
    }

    async fn write_history(&self, version: BundleVersion, head: &[u8]) -> Result<()> {
        self.write_once(&history_key(version), head).await
    }

    /// Writes a key that never changes once it exists.
    async fn write_once(&self, key: &str, value: &[u8]) -> Result<()> {
        match self.client.compare_and_swap(key, None, value).await? {
            Swap::Unknown => Err(Error::Broken(format!("{key} may not be written"))),
            Swap::Written { .. } | Swap::Conflict { .. } | Swap::Fenced => Ok(()),
        }
    }
}

fn encode_head(version: BundleVersion, manifest: &[u8]) -> Result<Vec<u8>> {
    let wire = HeadWire {
        version: version.0,
        manifest: Bytes(manifest.to_vec()),
    };
    serde_json::to_vec(&wire).map_err(|e| Error::Malformed(e.to_string()))
}

fn chunk_key(hash: ChunkHash) -> String {
    format!("{CHUNK_PREFIX}{hash}")
}

fn history_key(version: BundleVersion) -> String {
    format!("{HISTORY_PREFIX}{:020}", version.0)
}
