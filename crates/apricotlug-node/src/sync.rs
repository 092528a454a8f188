//! Follows the bundle in the platform.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use apricotlug_config::{
    chunk::{ChunkHash, Manifest, join},
    load_bundle,
};
use apricotlug_edge::Shared;
use apricotlug_model::Bundle;
use apricotlug_platform::{BundleStore, ChunkHash as StoredHash, Head};
use async_std::task;

use crate::error::NodeError;

/// Pause before the platform is asked again after a failure.
const RETRY: Duration = Duration::from_millis(500);

/// Name under which findings of a bundle from the platform are reported.
const BUNDLE_NAME: &str = "bundle";

/// Chunks of the bundle in force, by hash.
pub type Chunks = BTreeMap<ChunkHash, Vec<u8>>;

/// Follows the head of the bundle for ever.
pub async fn follow(store: BundleStore, shared: Arc<Shared>) {
    let mut chunks = Chunks::new();
    loop {
        match follow_head(&store, &shared, &mut chunks).await {
            Ok(()) => {}
            Err(e) => tracing::warn!(error = %e, "cannot follow the bundle in the platform"),
        }
        task::sleep(RETRY).await;
    }
}

async fn follow_head(
    store: &BundleStore,
    shared: &Shared,
    chunks: &mut Chunks,
) -> Result<(), NodeError> {
    let head = store.read_head().await?;
    let Some(head) = head else { return Ok(()) };
    let revision = head.entry.mod_revision;
    if is_newer(shared, &head) {
        let bundle = fetch(store, &head, chunks).await?;
        install(shared, bundle);
    }
    let mut watch = store.watch_head(revision + 1);
    loop {
        if !watch.next().await?.is_empty() {
            return Ok(());
        }
    }
}

fn is_newer(shared: &Shared, head: &Head) -> bool {
    let view = shared.view.load();
    view.bundle
        .as_ref()
        .is_none_or(|bundle| bundle.version < head.version)
}

async fn fetch(store: &BundleStore, head: &Head, chunks: &mut Chunks) -> Result<Bundle, NodeError> {
    let manifest: Manifest = serde_json::from_slice(&head.manifest)?;
    for hash in manifest.missing(|hash| chunks.contains_key(&hash)) {
        if let Some(bytes) = store.read_chunk(StoredHash(hash.0)).await? {
            chunks.insert(hash, bytes);
        }
    }
    let text = join(&manifest, |hash| chunks.get(&hash))?;
    chunks.retain(|hash, _| manifest.chunks.contains(hash));
    load_bundle(BUNDLE_NAME, &text).map_err(NodeError::Bundle)
}

fn install(shared: &Shared, bundle: Bundle) {
    let version = bundle.version;
    if let Err(why) = shared.install(Arc::new(bundle)) {
        tracing::warn!(%version, ?why, "bundle not put in force");
    }
}
