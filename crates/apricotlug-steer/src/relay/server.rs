//! Answers instances that ask for what the store holds.

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

/// Time after which a connection that asks nothing is closed.
const IDLE: Duration = Duration::from_secs(20);

/// Time that sending an answer may take.
const WRITE: Duration = Duration::from_secs(2);

/// Longest time for which a question waits for something new.
const MOST_WAIT: Duration = Duration::from_secs(5);

/// Pause after a connection could not be accepted.
const PAUSE: Duration = Duration::from_millis(50);

/// Answers for ever.
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
    // Small messages go out at once; a failure only costs latency.
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
        // Either end of the wait leads to the same answer: what is there then.
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
