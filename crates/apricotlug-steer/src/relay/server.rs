//! Serves relay requests of other instances.

use std::{io, sync::Arc, time::Duration};

use apricotlug_http::{ConnPermit, Step, Turn};
use apricotlug_policy::steer::WindowCounts;
use async_std::{
    future::timeout,
    io::ReadExt,
    net::{TcpListener, TcpStream},
    task,
};

use super::{change_log::Delta, read_len, write};
use crate::{
    freshness::StoreFreshness,
    shared::Shared,
    wire::{RelayRequest, RelayResponse, decode_relay_request, encode_relay_response},
};

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit for sending a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest request, in bytes: figures of all accounts and backend servers of an installation.
const MAX_REQUEST_BYTES: u32 = 1 << 20;

/// Longest time that a request may wait for a change.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Delay after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves relay requests until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let mut turn = Turn::default();
    loop {
        turn.take(Step::Transfer).await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(permit) = shared.conn_limits.peers.enter(&stream) else {
                    tracing::warn!(kind = "peer_refused");
                    continue;
                };
                let shared = Arc::clone(&shared);
                task::spawn(async move { serve_conn(&shared, stream, permit).await });
            }
            Err(e) => {
                tracing::warn!(kind = "accept_peer", error = %e);
                task::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_conn(shared: &Shared, stream: TcpStream, mut permit: ConnPermit) {
    // Disables Nagle's algorithm so that small messages are sent at once; a failure only adds
    // latency.
    let _ = stream.set_nodelay(true);
    while let Ok(request) = timeout(IDLE_TIMEOUT, read_request(shared, &stream)).await {
        if !permit.on_request() {
            return;
        }
        let request = match request {
            Ok(request) => request,
            Err(e) => {
                if e.kind() == io::ErrorKind::InvalidData {
                    tracing::warn!(kind = "bad_question", error = %e);
                }
                return;
            }
        };
        let response = build_response(shared, request).await;
        if write(&stream, &encode_relay_response(&response), WRITE_TIMEOUT)
            .await
            .is_err()
        {
            return;
        }
        permit.on_wait();
    }
}

/// Reads one request into room that is taken before it is read, as for callers' bodies: anyone may
/// connect.
async fn read_request(shared: &Shared, mut stream: &TcpStream) -> io::Result<RelayRequest> {
    let len = read_len(stream, MAX_REQUEST_BYTES).await?;
    let no_room = || io::Error::new(io::ErrorKind::OutOfMemory, "no room for the request");
    let held = shared
        .bodies
        .hold(stream.clone(), len)
        .ok_or_else(no_room)?;
    let mut bytes = vec![0; len];
    let mut turn = Turn::default();
    let mut filled = 0;
    while filled < len {
        turn.take(Step::Transfer).await;
        let read = stream.read(&mut bytes[filled..]).await?;
        if read == 0 || !held.on_received(read) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        filled += read;
    }
    decode_relay_request(&bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}

async fn build_response(shared: &Shared, request: RelayRequest) -> RelayResponse {
    if !request.windows.is_empty() {
        return confirm_windows(shared, request);
    }
    let received_at = StoreFreshness::now();
    shared
        .steering()
        .on_relay_request(&request, shared.clock.now());
    let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_WAIT);
    let wait_until = shared.clock.now().after(wait);
    let mut snapshot = shared.change_log.snapshot_after(request.after);
    // Ends at a change, after the wait, or when this instance's own read of the store is overdue.
    while let Delta::Unchanged(changed) = &snapshot.delta {
        let mut remaining = shared.clock.remaining(wait_until);
        // Before the first read there is nothing yet that could be overdue.
        if snapshot.read_at.is_some() {
            remaining = remaining.min(shared.passes_on_until.remaining());
        }
        if remaining.is_zero() {
            break;
        }
        let _ = timeout(remaining, changed.recv()).await;
        snapshot = shared.change_log.snapshot_after(request.after);
    }
    let (is_full, changes) = match snapshot.delta {
        Delta::Unchanged(_) => (false, Vec::new()),
        Delta::Changes(changes) => (false, changes),
        Delta::Full(changes) => (true, changes),
    };
    let now = StoreFreshness::now();
    let mut response = RelayResponse {
        run: shared.run,
        version: snapshot.version,
        is_full,
        held_ms: whole_ms(now.since(received_at)),
        age_ms: snapshot
            .read_at
            .map_or(u32::MAX, |read_at| whole_ms(now.since(read_at))),
        is_behind: shared.passes_on_until.is_past(),
        changes,
        ..RelayResponse::default()
    };
    shared.steering().fill_response(request.run, &mut response);
    response
}

/// Takes windows of usage and responds at once, without the store's items and other figures.
fn confirm_windows(shared: &Shared, request: RelayRequest) -> RelayResponse {
    let windows = request.windows.into_iter().map(WindowCounts::from);
    let confirmed = shared
        .usage
        .as_ref()
        .map(|usage| usage.on_windows(request.run, windows.collect()));
    RelayResponse {
        run: shared.run,
        confirmed: confirmed.unwrap_or_default(),
        ..RelayResponse::default()
    }
}

fn whole_ms(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
