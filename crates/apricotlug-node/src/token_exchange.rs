//! Lends rate tokens between instances: an instance that lacks tokens for its recent demand sends
//! requests to a few others, which lend what they can spare. This makes no call to the platform,
//! and no caller's request waits for it.

use std::{sync::Arc, time::Duration};

use apricotlug_edge::Shared;
use apricotlug_model::{AccountKey, Bundle, InstanceId};
use apricotlug_peer::{PeerHandle, State};
use apricotlug_policy::budget::{Now, Transfer};
use async_std::task;

use crate::messages::{self, Message, TokenRequest};

/// Pause between two rounds of token requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Instances that receive a token request in one round.
const PEERS_PER_ROUND: usize = 3;

/// Task that borrows tokens for one instance and acknowledges those it spent.
#[derive(Clone, Debug)]
pub struct TokenBorrower {
    /// State shared by all tasks of the instance.
    pub shared: Arc<Shared>,
    /// Handle of the peer node.
    pub peers: PeerHandle,
}

impl TokenBorrower {
    /// Requests missing tokens and acknowledges spent ones, in an endless loop.
    pub async fn run(self) {
        let mut round = 0;
        loop {
            task::sleep(ROUND_INTERVAL).await;
            self.acknowledge_spent().await;
            let wants = self.missing_tokens();
            if !wants.is_empty() {
                self.request_tokens(&wants, round).await;
                round += 1;
            }
        }
    }

    async fn acknowledge_spent(&self) {
        let spent = self
            .shared
            .decisions
            .with_budgets(|budgets| budgets.take_spent_transfers());
        for transfer in spent.unwrap_or_default() {
            let to = transfer.id.from.clone();
            messages::send(&self.shared, &self.peers, &to, &Message::Spent(transfer)).await;
        }
    }

    fn missing_tokens(&self) -> Vec<TokenRequest> {
        let Some(bundle) = self.shared.view.load().bundle.clone() else {
            return Vec::new();
        };
        let now = self.shared.clock.now();
        let wants = self.shared.decisions.with_budgets(|budgets| {
            let mut wants = Vec::new();
            for (key, account) in bundle.accounts.iter() {
                let tokens = budgets.shortfall(key, now);
                if tokens > 0 {
                    let demand_milli = budgets.demand_milli(key);
                    wants.push(TokenRequest {
                        account: account.id.clone(),
                        tokens,
                        demand_milli,
                    });
                }
            }
            wants
        });
        wants.unwrap_or_default()
    }

    /// Sends the requests to the next [`PEERS_PER_ROUND`] ready instances in rotation.
    async fn request_tokens(&self, wants: &[TokenRequest], round: usize) {
        let own = &self.shared.identity;
        let members = self.peers.members();
        let others: Vec<&InstanceId> = members
            .iter()
            .filter(|member| member.state == State::Ready && member.record.id != *own)
            .map(|member| &member.record.id)
            .collect();
        for i in 0..PEERS_PER_ROUND.min(others.len()) {
            let to = others[(round * PEERS_PER_ROUND + i) % others.len()];
            let message = Message::Ask {
                from: own.clone(),
                wants: wants.to_vec(),
            };
            messages::send(&self.shared, &self.peers, to, &message).await;
        }
    }
}

/// Lends a borrower the tokens that this instance can spare, up to those requested.
pub fn lend(shared: &Shared, borrower: &InstanceId, wants: &[TokenRequest]) -> Vec<Transfer> {
    let Some(bundle) = shared.view.load().bundle.clone() else {
        return Vec::new();
    };
    // The monotonic clock is read first: a pause between the two readings only shortens the
    // deadlines.
    let now = Now {
        mono: shared.clock.now(),
        unix: shared.clock.unix(),
    };
    let lent = shared.decisions.with_budgets(|budgets| {
        let mut lent = Vec::new();
        for want in wants {
            let Some(key) = account_key(&bundle, &want.account) else {
                continue;
            };
            let tokens = want
                .tokens
                .min(budgets.spare_tokens(key, want.demand_milli, now.mono));
            if tokens > 0 {
                lent.extend(budgets.lend(key, borrower, tokens, now));
            }
        }
        lent
    });
    lent.unwrap_or_default()
}

fn account_key(bundle: &Bundle, id: &str) -> Option<AccountKey> {
    bundle.accounts.find(|account| account.id == id)
}

/// Adds tokens that another instance has lent to this one.
pub fn receive(shared: &Shared, transfer: &Transfer) {
    let now = Now {
        mono: shared.clock.now(),
        unix: shared.clock.unix(),
    };
    shared
        .decisions
        .with_budgets(|budgets| budgets.receive(transfer, now));
}

/// Records that the borrower has spent tokens lent by this instance.
pub fn settle(shared: &Shared, transfer: &Transfer) {
    let now = shared.clock.now();
    shared
        .decisions
        .with_budgets(|budgets| budgets.acknowledge(transfer, now));
}
