//! TokenWaits for a token of a client account: a request that comes a little too early is held back
//! for a short while in place of a refusal.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use apricotlug_model::{AccountKey, HashMap};

/// Longest time for which a request waits for a token.
pub const MAX_WAIT: Duration = Duration::from_millis(400);

/// Longest pause between two looks of a waiting request for a token.
pub const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Most requests of one client account that wait on one instance. An account far above its rate
/// is refused at once when this many wait.
const MAX_WAITING_PER_ACCOUNT: u32 = 32;

/// Requests that wait for a token, by client account.
#[derive(Debug, Default)]
pub struct TokenWaits(Mutex<HashMap<AccountKey, u32>>);

/// One request that waits, until it is dropped.
#[derive(Debug)]
pub struct TokenWait<'a> {
    waits: &'a TokenWaits,
    account: AccountKey,
}

impl TokenWaits {
    /// Lets a request wait, unless too many of its account do.
    pub fn start(&self, account: AccountKey) -> Option<TokenWait<'_>> {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(account).or_default();
        if *count >= MAX_WAITING_PER_ACCOUNT {
            return None;
        }
        *count += 1;
        Some(TokenWait {
            waits: self,
            account,
        })
    }
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        let mut counts = self.waits.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.account) {
            *count = count.saturating_sub(1);
        }
    }
}
