//! Closes windows and sends them to the holder of the duty.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use apricotlug_model::MonoTime;
use apricotlug_policy::steer::{LostWindow, WindowCounts};
use async_std::task;

use super::state::Usage;
use crate::{
    freshness::StoreFreshness,
    relay,
    shared::Shared,
    wire::{RelayRequest, WindowUsage},
};

/// Interval at which windows are closed and sent.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time limit for sending windows to the holder.
const SEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay after windows could not be sent.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Closes windows and sends them until the process ends.
pub async fn collect(shared: Arc<Shared>) {
    let Some(usage) = &shared.usage else {
        return;
    };
    let mut retry_at = MonoTime::default();
    loop {
        task::sleep(INTERVAL).await;
        close(&shared, usage);
        if retry_at.is_past(shared.clock.now()) && !send(&shared, usage).await {
            retry_at = shared.clock.now().after(RETRY_DELAY);
        }
    }
}

/// Closes all windows and sends them before the process ends. Waits for a holder until a deadline.
pub async fn flush(shared: &Shared, deadline: MonoTime) {
    let Some(usage) = &shared.usage else {
        return;
    };
    close_all(shared, usage);
    while !send(shared, usage).await && !deadline.is_past(shared.clock.now()) {
        task::sleep(INTERVAL).await;
    }
}

fn close_all(shared: &Shared, usage: &Usage) {
    let mut state = usage.lock();
    let closed = state.counts.close_all();
    let lost = closed
        .into_iter()
        .filter_map(|window| state.outbox.push(window));
    let lost: Vec<_> = lost.collect();
    drop(state);
    log_lost(shared, &lost);
}

fn close(shared: &Shared, usage: &Usage) {
    let now = StoreFreshness::now();
    let mut guard = usage.lock();
    let state = &mut *guard;
    state.anchor.on_reading(now, shared.clock.read_wall());
    let closed = state.counts.close(state.anchor.unix(now));
    let lost = closed
        .into_iter()
        .filter_map(|window| state.outbox.push(window));
    let mut lost: Vec<_> = lost.collect();
    if let Some(record) = state.holder.record() {
        lost.extend(state.outbox.on_record(record));
    }
    drop(guard);
    log_lost(shared, &lost);
}

fn log_lost(shared: &Shared, lost: &[LostWindow]) {
    for window in lost {
        shared.metrics.on_usage_lost(window.requests);
        tracing::warn!(
            kind = "usage_lost",
            window = window.number,
            requests = window.requests
        );
    }
}

/// Sends what the holder does not have. Returns whether nothing is left to send.
async fn send(shared: &Shared, usage: &Usage) -> bool {
    let Some((run, peer, due)) = due(shared, usage) else {
        return false;
    };
    if due.is_empty() {
        return true;
    }
    let due_count = due.len();
    let (run, confirmed) = if run == shared.run {
        (run, usage.on_windows(run, due))
    } else {
        match send_windows(shared, peer, due).await {
            Ok(confirmed) => confirmed,
            Err(error) => {
                tracing::info!(kind = "usage_unsent", holder = %peer, %error);
                return false;
            }
        }
    };
    usage.lock().outbox.on_confirmed(run, &confirmed);
    confirmed.len() == due_count
}

/// Returns the holder's run and address, and the windows that it does not have; `None` where nobody
/// holds the duty, or this instance, which is about to end.
fn due(shared: &Shared, usage: &Usage) -> Option<(u64, SocketAddr, Vec<WindowCounts>)> {
    let state = usage.lock();
    let record = state.holder.record()?;
    let holder = (!record.is_released).then_some(&record.holder)?;
    if holder.run == shared.run && shared.drain.is_leaving() {
        return None;
    }
    Some((holder.run, holder.peer, state.outbox.due_for(holder.run)))
}

/// Sends windows. Returns the run that has taken them, which is another one where the holder has just
/// changed, and their numbers.
async fn send_windows(
    shared: &Shared,
    peer: SocketAddr,
    due: Vec<WindowCounts>,
) -> std::io::Result<(u64, Vec<u64>)> {
    let request = RelayRequest {
        run: shared.run,
        windows: due.into_iter().map(WindowUsage::from).collect(),
        ..RelayRequest::default()
    };
    let response = relay::ask_once(peer, &request, SEND_TIMEOUT).await?;
    Ok((response.run, response.confirmed))
}
