//! Evaluates bundles on a dedicated thread.
//!
//! A large bundle takes tens of milliseconds, during which the workers keep serving. The memory
//! that the thread frees stays in its heap arena and is reused for the next bundle; on the workers,
//! every worker that loads a bundle would grow an arena of its own.

use std::{collections::BTreeMap, sync::Arc, thread};

use apricotlug_config::{
    chunk::{Manifest, join},
    load_bundle, parse_bundle,
};
use apricotlug_model::{Bundle, Findings, UnixTime};
use apricotlug_peer::CompleteBundle;
use async_std::channel::{Receiver, Sender, bounded};

use crate::error::NodeError;

/// File name in the findings of a bundle from the platform or a peer.
const BUNDLE_NAME: &str = "bundle";

/// Bundle to evaluate, with the sender for the result.
#[derive(Debug)]
enum Job {
    /// Bundle that an operator has signed off.
    Load(Arc<CompleteBundle>, Sender<Result<Bundle, NodeError>>),
    /// Text from an operator, with the file name for its findings and the time of the check.
    Check(
        &'static str,
        String,
        UnixTime,
        Sender<Result<Bundle, Findings>>,
    ),
}

/// Handle of the thread that evaluates bundles. The thread ends when the last handle is dropped.
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

    /// Evaluates a bundle that an operator has signed off.
    ///
    /// # Errors
    /// Returns an error where the bundle is refused or the thread has ended.
    pub async fn load(&self, complete: Arc<CompleteBundle>) -> Result<Bundle, NodeError> {
        let (tx, rx) = bounded(1);
        self.submit(Job::Load(complete, tx), &rx).await?
    }

    /// Checks the text of a bundle that an operator sent. `name` is the file name in findings.
    ///
    /// # Errors
    /// Returns the findings as [`NodeError::Bundle`], or an error where the thread has ended.
    pub async fn check(
        &self,
        name: &'static str,
        text: String,
        now: UnixTime,
    ) -> Result<Bundle, NodeError> {
        let (tx, rx) = bounded(1);
        let checked = self.submit(Job::Check(name, text, now, tx), &rx).await?;
        checked.map_err(NodeError::Bundle)
    }

    async fn submit<T>(&self, job: Job, rx: &Receiver<T>) -> Result<T, NodeError> {
        self.0.send(job).await.map_err(|_| NodeError::LoaderGone)?;
        rx.recv().await.map_err(|_| NodeError::LoaderGone)
    }
}

fn run(rx: &Receiver<Job>) {
    while let Ok(job) = rx.recv_blocking() {
        // Sending fails where the caller was cancelled; the result is dropped.
        match job {
            Job::Load(complete, tx) => _ = tx.try_send(load(&complete)),
            Job::Check(name, text, now, tx) => _ = tx.try_send(parse_bundle(name, &text, now)),
        }
    }
}

fn load(complete: &CompleteBundle) -> Result<Bundle, NodeError> {
    let manifest: Manifest = serde_json::from_slice(&complete.head.bytes)?;
    let bytes_by_hash: BTreeMap<_, _> = complete
        .chunks
        .iter()
        .map(|chunk| (chunk.hash.0, &chunk.bytes))
        .collect();
    let text = join(&manifest, |hash| {
        bytes_by_hash.get(&hash.0).map(|bytes| bytes.as_ref())
    })?;
    let bundle = load_bundle(BUNDLE_NAME, &text).map_err(NodeError::Bundle)?;
    if bundle.version != manifest.version || bundle.version.0 != complete.head.version {
        return Err(NodeError::VersionMismatch);
    }
    Ok(bundle)
}
