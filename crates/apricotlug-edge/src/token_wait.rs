//! Requests that wait for a token of their client account. A request that arrives shortly before a
//! token is available waits instead of being refused.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use apricotlug_model::{AccountKey, HashMap};

/// Longest time for which a request waits for a token.
pub const MAX_WAIT: Duration = Duration::from_millis(400);

/// Longest time between two tries of a waiting request to get a token.
pub const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Largest number of waiting requests per client account on one instance. Further requests are
/// refused at once, which is the case for an account far above its rate.
const MAX_WAITING_PER_ACCOUNT: u32 = 32;

/// Number of requests that wait for a token, by client account.
#[derive(Debug, Default)]
pub struct TokenWaits(Mutex<HashMap<AccountKey, u32>>);

/// Guard that counts one waiting request until it is dropped.
#[derive(Debug)]
pub struct TokenWait<'a> {
    waits: &'a TokenWaits,
    account: AccountKey,
}

impl TokenWaits {
    /// Counts a request as waiting; `None` where too many of its account already wait.
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
