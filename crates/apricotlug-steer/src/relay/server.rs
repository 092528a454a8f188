//! Serves relay requests of other instances.

use std::{sync::Arc, time::Duration};

use async_std::{
    future::timeout,
    net::{TcpListener, TcpStream},
    task,
};

use super::{change_log::Unseen, read, write};
use crate::{
    shared::Shared,
    wire::{Ask, Told, decode_ask, encode_told},
};

/// Time without a request after which a connection is closed.
const IDLE: Duration = Duration::from_secs(20);

/// Time limit for sending a response.
const WRITE: Duration = Duration::from_secs(2);

/// Longest time that a request may wait for a change.
const MOST_WAIT: Duration = Duration::from_secs(5);

/// Delay after `accept` failed.
const PAUSE: Duration = Duration::from_millis(50);

/// Serves relay requests until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = Arc::clone(&shared);
                task::spawn(async move { serve_one(&shared, stream).await });
            }
            Err(e) => {
                tracing::warn!(kind = "accept_peer", error = %e);
                task::sleep(PAUSE).await;
            }
        }
    }
}

async fn serve_one(shared: &Shared, stream: TcpStream) {
    // Disables Nagle's algorithm so that small messages are sent at once; a failure only adds
    // latency.
    let _ = stream.set_nodelay(true);
    while let Ok(bytes) = read(&stream, IDLE).await {
        let ask = match decode_ask(&bytes) {
            Ok(ask) => ask,
            Err(e) => {
                tracing::warn!(kind = "bad_question", error = %e);
                return;
            }
        };
        let told = answer(shared, ask).await;
        if write(&stream, &encode_told(&told), WRITE).await.is_err() {
            return;
        }
    }
}

async fn answer(shared: &Shared, ask: Ask) -> Told {
    shared.gate().on_ask(&ask, shared.clock.now());
    let wait = Duration::from_millis(ask.wait_ms.into()).min(MOST_WAIT);
    let mut news = shared.log.after(ask.after);
    if let Unseen::None(changed) = &news {
        // A change and a time-out are handled alike: the changes known by then are returned.
        let _ = timeout(wait, changed.recv()).await;
        news = shared.log.after(ask.after);
    }
    let (is_full, changes) = match news {
        Unseen::None(_) => (false, Vec::new()),
        Unseen::Changes(changes) => (false, changes),
        Unseen::Full(changes) => (true, changes),
    };
    let age = shared.news.age();
    let mut told = Told {
        run: shared.run,
        revision: shared.log.revision(),
        is_full,
        age_ms: age.map_or(u32::MAX, |age| {
            u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
        }),
        changes,
        ..Told::default()
    };
    shared.gate().tell(ask.run, &mut told);
    told
}
