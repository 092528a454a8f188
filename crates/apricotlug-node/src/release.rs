//! Signs off a bundle: splits its text into chunks, stores them and puts the head in force.

use std::collections::BTreeSet;

use apricotlug_config::chunk::{Manifest, split};
use apricotlug_model::{BundleVersion, UnixTime};
use apricotlug_platform::{BundleStore, ChunkHash, Head, Result, SignOff};

/// Signs off a bundle to replace the one in force. Gives a conflict where the version in force is
/// the same or newer.
///
/// # Errors
/// Returns an error where a call to the platform fails or the manifest cannot be encoded.
pub async fn sign_off(
    store: &BundleStore,
    text: &str,
    version: BundleVersion,
    operator: &str,
) -> Result<SignOff> {
    let base = store.read_head().await?;
    if base.as_ref().is_some_and(|head| head.version >= version) {
        return Ok(SignOff::Conflict {
            winner: base.map(Box::new),
        });
    }
    let (hashes, chunks) = split(text);
    // The platform already holds the chunks of the bundle in force.
    let stored: BTreeSet<_> = base.iter().flat_map(chunks_of).collect();
    let manifest = Manifest {
        version,
        write_id: rand::random(),
        signed_by: operator.to_owned(),
        signed_at: UnixTime::now(),
        chunks: hashes,
    };
    let chunks: Vec<_> = chunks
        .into_iter()
        .filter(|chunk| !stored.contains(&chunk.hash))
        .map(|chunk| (ChunkHash(chunk.hash.0), chunk.text.into_bytes()))
        .collect();
    let manifest = serde_json::to_vec(&manifest)
        .map_err(|e| apricotlug_platform::Error::Malformed(e.to_string()))?;
    store
        .sign_off(base.as_ref(), version, &manifest, &chunks)
        .await
}

fn chunks_of(head: &Head) -> Vec<apricotlug_config::chunk::ChunkHash> {
    let manifest: Option<Manifest> = serde_json::from_slice(&head.manifest).ok();
    manifest.map(|manifest| manifest.chunks).unwrap_or_default()
}
