//! Evaluates bundles on one thread of its own.
//!
//! A large bundle takes tens of milliseconds, in which the workers go on serving. What the thread
//! frees stays with its own heap arena and serves the next bundle, in place of growing the arena of
//! each worker that happens to load one.

use std::{collections::BTreeMap, sync::Arc, thread};

use apricotlug_config::{
    chunk::{Manifest, join},
    load_bundle,
};
use apricotlug_model::Bundle;
use apricotlug_peer::CompleteBundle;
use async_std::channel::{Receiver, Sender, bounded};

use crate::error::NodeError;

/// Name under which findings of a bundle are reported.
const BUNDLE_NAME: &str = "bundle";

/// Bundle to evaluate, and where its result goes.
type Job = (Arc<CompleteBundle>, Sender<Result<Bundle, NodeError>>);

/// Handle of the thread that evaluates bundles; it ends with the last handle.
#[derive(Clone, Debug)]
pub struct Loader(Sender<Job>);

impl Loader {
    /// Starts the thread.
    #[must_use]
    pub fn start() -> Self {
        let (tx, rx) = bounded(1);
        thread::spawn(move || run(&rx));
        Self(tx)
    }

    /// Evaluates a bundle.
    ///
    /// # Errors
    /// Returns why the bundle is refused.
    pub async fn load(&self, complete: Arc<CompleteBundle>) -> Result<Bundle, NodeError> {
        let (tx, rx) = bounded(1);
        self.0
            .send((complete, tx))
            .await
            .map_err(|_| NodeError::LoaderGone)?;
        rx.recv().await.map_err(|_| NodeError::LoaderGone)?
    }
}

fn run(rx: &Receiver<Job>) {
    while let Ok((complete, tx)) = rx.recv_blocking() {
        // A failure means that nobody waits for the result any more.
        let _ = tx.try_send(load(&complete));
    }
}

fn load(complete: &CompleteBundle) -> Result<Bundle, NodeError> {
    let manifest: Manifest = serde_json::from_slice(&complete.head.bytes)?;
    let held: BTreeMap<_, _> = complete
        .chunks
        .iter()
        .map(|chunk| (chunk.hash.0, &chunk.bytes))
        .collect();
    let text = join(&manifest, |hash| {
        held.get(&hash.0).map(|bytes| bytes.as_ref())
    })?;
    let bundle = load_bundle(BUNDLE_NAME, &text).map_err(NodeError::Bundle)?;
    if bundle.version != manifest.version || bundle.version.0 != complete.head.version {
        return Err(NodeError::VersionMismatch);
    }
    Ok(bundle)
}
