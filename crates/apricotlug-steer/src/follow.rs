//! Follows the store: lists everything once, then takes up changes as they come.

use std::{sync::Arc, time::Duration};

use apricotlug_adapter::{StoreClient, StoreError, watch_space};
use async_std::task;

use crate::{
    apply::{Lapsed, apply_changes, apply_page},
    news::News,
    shared::Shared,
};

/// Time that a listing may take.
const LIST: Duration = Duration::from_millis(2_500);

/// Time that a watch waits for changes. Each answer proves that nothing was missed.
const WAIT: Duration = Duration::from_millis(1_000);

/// Time beyond that after which a watch is taken for lost.
const SLACK: Duration = Duration::from_millis(700);

/// Pause after an answer, so that changes that come together are taken up together.
const GATHER: Duration = Duration::from_millis(60);

/// First pause after a failure, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Follows the store for ever.
pub async fn follow(shared: Arc<Shared>, mut store: StoreClient, lapsed: Arc<Lapsed>) {
    let mut revision = None;
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    loop {
        let asked_at = News::clock_us();
        let step = step(
            &shared,
            &mut store,
            &lapsed,
            revision,
            &mut is_lost,
            asked_at,
        )
        .await;
        match step {
            Ok(next) => {
                revision = Some(next);
                pause = FIRST_PAUSE;
                task::sleep(GATHER).await;
            }
            Err(e) => {
                if matches!(e, StoreError::HistoryGone) {
                    revision = None;
                }
                if !is_lost {
                    tracing::warn!(kind = "dependency_lost", dependency = "store", error = %e);
                }
                is_lost = is_lost || !matches!(e, StoreError::HistoryGone);
                task::sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

async fn step(
    shared: &Shared,
    store: &mut StoreClient,
    lapsed: &Lapsed,
    revision: Option<u64>,
    is_lost: &mut bool,
    asked_at: u64,
) -> Result<u64, StoreError> {
    let Some(after) = revision else {
        let page = store.list(watch_space(), LIST).await?;
        on_answer(shared, lapsed, is_lost);
        let next = page.revision;
        tracing::info!(kind = "listed", items = page.items.len(), revision = next);
        apply_page(shared, lapsed, page);
        shared.news.prove(asked_at);
        return Ok(next);
    };
    // A store that was away is asked without waiting, so that its return shows at once.
    let wait = if *is_lost {
        Duration::from_millis(1)
    } else {
        WAIT
    };
    let (changes, next) = store.watch(watch_space(), after, wait, SLACK).await?;
    on_answer(shared, lapsed, is_lost);
    apply_changes(shared, lapsed, changes);
    shared.news.prove(asked_at);
    Ok(next)
}

fn on_answer(shared: &Shared, lapsed: &Lapsed, is_lost: &mut bool) {
    if std::mem::take(is_lost) {
        tracing::info!(kind = "dependency_regained", dependency = "store");
        lapsed.on_store_back(shared.clock.now());
    }
}
