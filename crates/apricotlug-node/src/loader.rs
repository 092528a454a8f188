//! Evaluates bundles on one thread of its own.
//!
//! A large bundle takes tens of milliseconds, in which the workers go on serving. What the thread
//! frees stays with its own heap arena and serves the next bundle, in place of growing the arena of
//! each worker that happens to load one.

use std::{collections::BTreeMap, sync::Arc, thread};

use apricotlug_config::{
    chunk::{Manifest, join},
    load_bundle, parse_bundle,
};
use apricotlug_model::{Bundle, Findings, UnixTime};
use apricotlug_peer::CompleteBundle;
use async_std::channel::{Receiver, Sender, bounded};

use crate::error::NodeError;

/// Name under which findings of a bundle are reported.
const BUNDLE_NAME: &str = "bundle";

/// Bundle to evaluate, and where its result goes.
#[derive(Debug)]
enum Job {
    /// Bundle that was accepted.
    Load(Arc<CompleteBundle>, Sender<Result<Bundle, NodeError>>),
    /// Text that an operator sent, with the name for its findings and the present time.
    Check(
        &'static str,
        String,
        UnixTime,
        Sender<Result<Bundle, Findings>>,
    ),
}

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

    /// Evaluates an accepted bundle.
    ///
    /// # Errors
    /// Returns why the bundle is refused.
    pub async fn load(&self, complete: Arc<CompleteBundle>) -> Result<Bundle, NodeError> {
        let (tx, rx) = bounded(1);
        self.ask(Job::Load(complete, tx), &rx).await?
    }

    /// Checks the text of a bundle that an operator sent. `name` stands for the file in findings.
    ///
    /// # Errors
    /// Returns the findings as [`NodeError::Bundle`].
    pub async fn check(
        &self,
        name: &'static str,
        text: String,
        now: UnixTime,
    ) -> Result<Bundle, NodeError> {
        let (tx, rx) = bounded(1);
        let checked = self.ask(Job::Check(name, text, now, tx), &rx).await?;
        checked.map_err(NodeError::Bundle)
    }

    async fn ask<T>(&self, job: Job, rx: &Receiver<T>) -> Result<T, NodeError> {
        self.0.send(job).await.map_err(|_| NodeError::LoaderGone)?;
        rx.recv().await.map_err(|_| NodeError::LoaderGone)
    }
}

fn run(rx: &Receiver<Job>) {
    while let Ok(job) = rx.recv_blocking() {
        // A failure to send means that nobody waits for the result any more.
        match job {
            Job::Load(complete, tx) => _ = tx.try_send(load(&complete)),
            Job::Check(name, text, now, tx) => _ = tx.try_send(parse_bundle(name, &text, now)),
        }
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
