//! Lends tokens between instances: one that lacks tokens for its recent demand asks a few others,
//! which give what they can spare. No call to the platform is made, and no request waits for it.

use std::{sync::Arc, time::Duration};

use apricotlug_edge::Shared;
use apricotlug_model::{AccountKey, Bundle, InstanceId};
use apricotlug_peer::{PeerHandle, State};
use apricotlug_policy::budget::{Now, Transfer};
use async_std::task;

use crate::messages::{self, Message, Want};

/// Pause between two rounds of asking.
const PERIOD: Duration = Duration::from_millis(100);

/// Instances asked in one round.
const ASKED: usize = 3;

/// Lends and borrows tokens for one instance.
#[derive(Clone, Debug)]
pub struct Lender {
    /// State of the instance.
    pub shared: Arc<Shared>,
    /// Peer node.
    pub peers: PeerHandle,
}

impl Lender {
    /// Asks for what is lacking and acknowledges what was spent, for ever.
    pub async fn run(self) {
        let mut round = 0;
        loop {
            task::sleep(PERIOD).await;
            self.acknowledge().await;
            let wants = self.wants();
            if !wants.is_empty() {
                self.ask(&wants, round).await;
                round += 1;
            }
        }
    }

    async fn acknowledge(&self) {
        let spent = self
            .shared
            .gate
            .with_budgets(|budgets| budgets.take_spent());
        for transfer in spent.unwrap_or_default() {
            let to = transfer.id.from.clone();
            messages::send(&self.shared, &self.peers, &to, &Message::Spent(transfer)).await;
        }
    }

    fn wants(&self) -> Vec<Want> {
        let Some(bundle) = self.shared.view.load().bundle.clone() else {
            return Vec::new();
        };
        let now = self.shared.clock.now();
        let wants = self.shared.gate.with_budgets(|budgets| {
            let mut wants = Vec::new();
            for (key, account) in bundle.accounts.iter() {
                let tokens = budgets.lack(key, now);
                if tokens > 0 {
                    let demand_milli = budgets.demand_milli(key);
                    wants.push(Want {
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

    /// Asks the next few instances in turn.
    async fn ask(&self, wants: &[Want], round: usize) {
        let own = &self.shared.identity;
        let members = self.peers.members();
        let others: Vec<&InstanceId> = members
            .iter()
            .filter(|member| member.state == State::Ready && member.record.id != *own)
            .map(|member| &member.record.id)
            .collect();
        for i in 0..ASKED.min(others.len()) {
            let to = others[(round * ASKED + i) % others.len()];
            let message = Message::Ask {
                from: own.clone(),
                wants: wants.to_vec(),
            };
            messages::send(&self.shared, &self.peers, to, &message).await;
        }
    }
}

/// Gives an asker what this instance can spare.
pub fn give(shared: &Shared, asker: &InstanceId, wants: &[Want]) -> Vec<Transfer> {
    let Some(bundle) = shared.view.load().bundle.clone() else {
        return Vec::new();
    };
    // The monotonic clock is read first: a pause in between only shortens the deadlines.
    let now = Now {
        mono: shared.clock.now(),
        unix: shared.clock.unix(),
    };
    let given = shared.gate.with_budgets(|budgets| {
        let mut given = Vec::new();
        for want in wants {
            let Some(key) = account(&bundle, &want.account) else {
                continue;
            };
            let tokens = want
                .tokens
                .min(budgets.spare(key, want.demand_milli, now.mono));
            if tokens > 0 {
                given.extend(budgets.give(key, asker, tokens, now));
            }
        }
        given
    });
    given.unwrap_or_default()
}

fn account(bundle: &Bundle, id: &str) -> Option<AccountKey> {
    bundle.accounts.find(|account| account.id == id)
}

/// Adds tokens that another instance has lent.
pub fn receive(shared: &Shared, transfer: &Transfer) {
    let now = Now {
        mono: shared.clock.now(),
        unix: shared.clock.unix(),
    };
    shared
        .gate
        .with_budgets(|budgets| budgets.receive(transfer, now));
}

/// Takes note that tokens lent were spent.
pub fn settle(shared: &Shared, transfer: &Transfer) {
    let now = shared.clock.now();
    shared
        .gate
        .with_budgets(|budgets| budgets.acknowledge(transfer, now));
}
