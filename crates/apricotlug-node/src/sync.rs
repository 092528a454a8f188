//! Follows the bundle and the withdrawn keys, among the peers and in the platform.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use apricotlug_config::chunk::{ChunkHash, Manifest};
use apricotlug_edge::Shared;
use apricotlug_model::Bundle;
use apricotlug_peer::{BundleHead, Chunk, ChunkHash as PeerHash, CompleteBundle, PeerHandle};
use apricotlug_platform::{BundleStore, ChunkHash as StoredHash, Head, Watch, Withdrawals};
use async_std::task;
use futures_lite::future;

use crate::{error::NodeError, fleet::is_delegate, loader::Loader};

/// Pause before the platform is asked again after a failure, and between two looks at whether
/// this instance is the delegate.
const RETRY: Duration = Duration::from_millis(500);

/// Time from the start for which the peers are waited for before the platform is asked.
const PEERS_FIRST: Duration = Duration::from_secs(2);

/// What the followers work with.
#[derive(Clone, Debug)]
pub struct Links {
    /// State of the instance.
    pub shared: Arc<Shared>,
    /// Peer node.
    pub peers: PeerHandle,
    /// Bundle in the platform.
    pub store: BundleStore,
    /// Withdrawn keys in the platform.
    pub withdrawals: Withdrawals,
    /// Thread that evaluates bundles.
    pub loader: Loader,
}

/// Puts each bundle in force that the peers complete.
pub async fn follow_peers(links: Links) {
    let updates = links.peers.bundle_updates();
    while let Ok(complete) = updates.recv().await {
        match links.loader.load(complete).await {
            Ok(bundle) => install(&links.shared, bundle),
            Err(e) => tracing::warn!(error = %e, "bundle from a peer refused"),
        }
    }
}

/// Follows the head of the bundle in the platform while this instance is the delegate.
pub async fn follow_bundle(links: Links, has_seeds: bool) {
    if has_seeds {
        task::sleep(PEERS_FIRST).await;
    }
    loop {
        if is_delegate(&links.shared, &links.peers)
            && let Err(e) = follow_head(&links).await
        {
            tracing::warn!(error = %e, "cannot follow the bundle in the platform");
        }
        task::sleep(RETRY).await;
    }
}

async fn follow_head(links: &Links) -> Result<(), NodeError> {
    let Some(head) = links.store.read_head().await? else {
        return Ok(());
    };
    let revision = head.entry.mod_revision;
    if is_newer(&links.shared, &head) {
        let complete = fetch(links, &head).await?;
        let bundle = links.loader.load(Arc::new(complete.clone())).await?;
        install(&links.shared, bundle);
        publish(&links.peers, complete).await;
    }
    let watch = links.store.watch_head(revision + 1);
    wait_change(links, watch).await
}

/// Waits until the watch reports a change or this instance is no longer the delegate.
async fn wait_change(links: &Links, mut watch: Watch) -> Result<(), NodeError> {
    let changed = async { watch.next().await.map(|_| ()) };
    let replaced = async {
        while is_delegate(&links.shared, &links.peers) {
            task::sleep(RETRY).await;
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

/// Reads the chunks that the bundle held so far lacks.
async fn fetch(links: &Links, head: &Head) -> Result<CompleteBundle, NodeError> {
    let manifest: Manifest = serde_json::from_slice(&head.manifest)?;
    let held = links.peers.bundle();
    let mut chunks: BTreeMap<ChunkHash, Chunk> = BTreeMap::new();
    for chunk in held.iter().flat_map(|held| &held.chunks) {
        chunks.insert(ChunkHash(chunk.hash.0), chunk.clone());
    }
    for hash in manifest.missing(|hash| chunks.contains_key(&hash)) {
        if let Some(bytes) = links.store.read_chunk(StoredHash(hash.0)).await? {
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

/// Keeps the withdrawn keys of the platform and of the peers alike, while this instance is the
/// delegate.
pub async fn follow_withdrawals(links: Links) {
    loop {
        if is_delegate(&links.shared, &links.peers)
            && let Err(e) = exchange_withdrawals(&links).await
        {
            tracing::warn!(error = %e, "cannot follow withdrawn keys in the platform");
        }
        task::sleep(RETRY).await;
    }
}

async fn exchange_withdrawals(links: &Links) -> Result<(), NodeError> {
    let (stored, revision) = links.withdrawals.list().await?;
    let known = links.peers.withdrawn();
    for id in stored.difference(&known) {
        links.peers.withdraw(id.clone()).await?;
    }
    for id in known.difference(&stored) {
        links
            .withdrawals
            .add(id, links.shared.identity.name.as_bytes())
            .await?;
    }
    let watch = links.withdrawals.watch(revision);
    let changed_here = async {
        while links.peers.withdrawn().len() == known.len().max(stored.len()) {
            task::sleep(RETRY).await;
        }
        Ok(())
    };
    future::or(wait_change(links, watch), changed_here).await
}
