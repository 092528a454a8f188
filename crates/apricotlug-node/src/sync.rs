//! Synchronises the bundle and the withdrawn keys between the platform, the peers and this
//! instance.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use apricotlug_config::chunk::{ChunkHash, Manifest};
use apricotlug_edge::Shared;
use apricotlug_model::Bundle;
use apricotlug_peer::{BundleHead, Chunk, ChunkHash as PeerHash, CompleteBundle, PeerHandle};
use apricotlug_platform::{BundleStore, ChunkHash as StoredHash, Head, Watch, Withdrawals};
use async_std::task;
use futures_lite::future;

use crate::{error::NodeError, fleet::is_delegate, loader::Loader};

/// Pause before a retry at the platform, and between two checks whether this instance is still the
/// delegate or has new withdrawn keys.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time from the start in which a bundle may come from the peers before the platform is read.
const PEER_WAIT: Duration = Duration::from_secs(2);

/// Handles that the synchronisation tasks use.
#[derive(Clone, Debug)]
pub struct SyncContext {
    /// State shared by all tasks of the instance.
    pub shared: Arc<Shared>,
    /// Handle of the peer node.
    pub peers: PeerHandle,
    /// Store of the bundle in the platform.
    pub store: BundleStore,
    /// Store of the withdrawn keys in the platform.
    pub withdrawals: Withdrawals,
    /// Handle of the thread that evaluates bundles.
    pub loader: Loader,
}

/// Puts each bundle in force that has been received from the peers completely.
pub async fn follow_peers(context: SyncContext) {
    let updates = context.peers.bundle_updates();
    while let Ok(complete) = updates.recv().await {
        match context.loader.load(complete).await {
            Ok(bundle) => install(&context.shared, bundle),
            Err(e) => tracing::warn!(error = %e, "bundle from a peer refused"),
        }
    }
}

/// Follows the head of the bundle in the platform while this instance is the delegate.
/// `has_seed_peers` tells whether peers are configured, which may send the bundle first.
pub async fn follow_bundle(context: SyncContext, has_seed_peers: bool) {
    if has_seed_peers {
        task::sleep(PEER_WAIT).await;
    }
    loop {
        if is_delegate(&context.shared, &context.peers)
            && let Err(e) = follow_head(&context).await
        {
            tracing::warn!(error = %e, "cannot follow the bundle in the platform");
        }
        task::sleep(RETRY_INTERVAL).await;
    }
}

async fn follow_head(context: &SyncContext) -> Result<(), NodeError> {
    let Some(head) = context.store.read_head().await? else {
        return Ok(());
    };
    let revision = head.entry.mod_revision;
    if is_newer(&context.shared, &head) {
        let complete = fetch(context, &head).await?;
        let bundle = context.loader.load(Arc::new(complete.clone())).await?;
        install(&context.shared, bundle);
        publish(&context.peers, complete).await;
    }
    let watch = context.store.watch_head(revision + 1);
    wait_for_change(context, watch).await
}

/// Waits until the watch reports a change or this instance is no longer the delegate.
async fn wait_for_change(context: &SyncContext, mut watch: Watch) -> Result<(), NodeError> {
    let changed = async { watch.next().await.map(|_| ()) };
    let replaced = async {
        while is_delegate(&context.shared, &context.peers) {
            task::sleep(RETRY_INTERVAL).await;
        }
        Ok(())
    };
    Ok(future::or(changed, replaced).await?)
}

fn is_newer(shared: &Shared, head: &Head) -> bool {
    let view = shared.view.load();
    view.bundle
        .as_ref()
        .is_none_or(|bundle| bundle.version < head.version)
}

/// Reads from the platform the chunks that the bundle held by the peer node lacks.
async fn fetch(context: &SyncContext, head: &Head) -> Result<CompleteBundle, NodeError> {
    let manifest: Manifest = serde_json::from_slice(&head.manifest)?;
    let held = context.peers.bundle();
    let mut chunks: BTreeMap<ChunkHash, Chunk> = BTreeMap::new();
    for chunk in held.iter().flat_map(|held| &held.chunks) {
        chunks.insert(ChunkHash(chunk.hash.0), chunk.clone());
    }
    for hash in manifest.missing(|hash| chunks.contains_key(&hash)) {
        if let Some(bytes) = context.store.read_chunk(StoredHash(hash.0)).await? {
            chunks.insert(hash, Chunk::new(bytes));
        }
    }
    let head = BundleHead {
        version: head.version.0,
        bytes: head.manifest.clone().into(),
        chunks: manifest
            .chunks
            .iter()
            .map(|hash| PeerHash(hash.0))
            .collect(),
    };
    let chunks: Vec<Chunk> = chunks.into_values().collect();
    Ok(CompleteBundle::new(head, &chunks)?)
}

async fn publish(peers: &PeerHandle, complete: CompleteBundle) {
    if let Err(e) = peers.publish_bundle(complete.head, complete.chunks).await {
        tracing::warn!(error = %e, "bundle not published to the peers");
    }
}

fn install(shared: &Shared, bundle: Bundle) {
    let version = bundle.version;
    if let Err(why) = shared.install(Arc::new(bundle)) {
        tracing::info!(%version, ?why, "bundle not put in force");
    }
}

/// Copies withdrawn keys from the platform to the peers and back, while this instance is the
/// delegate.
pub async fn follow_withdrawals(context: SyncContext) {
    loop {
        if is_delegate(&context.shared, &context.peers)
            && let Err(e) = exchange_withdrawals(&context).await
        {
            tracing::warn!(error = %e, "cannot follow withdrawn keys in the platform");
        }
        task::sleep(RETRY_INTERVAL).await;
    }
}

async fn exchange_withdrawals(context: &SyncContext) -> Result<(), NodeError> {
    let (stored, revision) = context.withdrawals.list().await?;
    let known = context.peers.withdrawn();
    for id in stored.difference(&known) {
        context.peers.withdraw(id.clone()).await?;
    }
    for id in known.difference(&stored) {
        context
            .withdrawals
            .add(id, context.shared.identity.name.as_bytes())
            .await?;
    }
    let watch = context.withdrawals.watch(revision);
    let changed_at_peers = async {
        while context.peers.withdrawn().len() == known.len().max(stored.len()) {
            task::sleep(RETRY_INTERVAL).await;
        }
        Ok(())
    };
    future::or(wait_for_change(context, watch), changed_at_peers).await
}
