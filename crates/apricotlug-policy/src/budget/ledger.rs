//! Budgets of one instance: the requests that it may admit for each client account.

use std::collections::BTreeMap;

use apricotlug_model::{AccountKey, Bundle, HashMap, InstanceId, MonoTime, UnixTime};

use crate::budget::{
    Admission, MAX_CLOCK_SKEW, Now, Receipt, Share, Transfer, TransferId, account::AccountBudget,
};

/// Largest number of received transfers remembered to detect duplicates.
const MAX_REMEMBERED_TRANSFERS: usize = 4_096;

/// Allotments of one instance for all client accounts, as the instance plan grants them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allotments {
    /// Instance and incarnation that may spend them; others must not install them.
    pub holder: InstanceId,
    /// Increases with each change; an instance installs only a higher generation than its own.
    pub generation: u64,
    /// Deadline of the floors.
    pub floor_until: UnixTime,
    /// Deadline of the surpluses.
    pub surplus_until: UnixTime,
    /// Shares by client account; an account that is not listed gets nothing.
    pub accounts: Vec<Allotment>,
}

/// Shares of one client account's budget that one instance may spend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allotment {
    /// Identifier of the client account, which stays the same across bundle versions.
    pub account: String,
    /// Whole budget of the account in the bundle that the shares were computed from.
    pub budget: Share,
    /// Share under the long lease.
    pub floor: Share,
    /// Share under the short lease.
    pub surplus: Share,
}

/// Report of an instance to the instance that updates its data centre's instance plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Instance and incarnation that reports.
    pub instance: InstanceId,
    /// Generation whose shares it has installed, or `None` if it has none or has lent more tokens
    /// than the burst of that generation covers.
    pub confirmed_generation: Option<u64>,
    /// Whether it is shutting down and neither it nor a borrower spends any of its tokens any more.
    pub is_leaving: bool,
    /// Arrivals by client account, refused ones included, in thousandths per second; accounts
    /// without arrivals are left out.
    pub demand_milli: BTreeMap<String, u64>,
}

/// Budgets of one instance.
#[derive(Clone, Debug)]
pub struct Budgets {
    own: InstanceId,
    generation: Option<u64>,
    is_leaving: bool,
    entries: Vec<AccountBudget>,
    keys: HashMap<String, AccountKey>,
    retired: Vec<AccountBudget>,
    received: HashMap<TransferId, MonoTime>,
    last_number: u64,
}

impl Budgets {
    /// Creates budgets without allotments, which admit nothing yet.
    #[must_use]
    pub fn new(own: InstanceId, bundle: &Bundle, now: MonoTime) -> Self {
        let mut budgets = Self {
            own,
            generation: None,
            is_leaving: false,
            entries: Vec::new(),
            keys: HashMap::default(),
            retired: Vec::new(),
            received: HashMap::default(),
            last_number: 0,
        };
        budgets.set_bundle(bundle, now);
        budgets
    }

    /// Counts an arrival and takes one token of a client account. Refuses unknown accounts.
    pub fn admit(&mut self, account: AccountKey, now: MonoTime) -> Admission {
        match self.entries.get_mut(usize::from(account)) {
            Some(entry) => entry.admit(now),
            None => Admission::Refused { retry_at: now },
        }
    }

    /// Takes one token for a request that was refused before and has waited. It is not counted as
    /// an arrival again.
    pub fn admit_waiting(&mut self, account: AccountKey, now: MonoTime) -> Admission {
        match self.entries.get_mut(usize::from(account)) {
            Some(entry) => entry.admit_waiting(now),
            None => Admission::Refused { retry_at: now },
        }
    }

    /// Installs another bundle. Accounts with the same name keep their holdings, scaled down if
    /// their budget has shrunk; new accounts start with nothing.
    pub fn set_bundle(&mut self, bundle: &Bundle, now: MonoTime) {
        let mut previous: HashMap<String, AccountBudget> = std::mem::take(&mut self.retired)
            .into_iter()
            .chain(std::mem::take(&mut self.entries))
            .map(|entry| (entry.name().to_owned(), entry))
            .collect();
        for (key, account) in bundle.accounts.iter() {
            let budget = Share::budget_of(account);
            let mut entry = previous
                .remove(&account.id)
                .unwrap_or_else(|| AccountBudget::new(account.id.clone(), now));
            entry.set_budget(budget, now);
            self.entries.push(entry);
            debug_assert_eq!(usize::from(key) + 1, self.entries.len());
        }
        self.retired = previous
            .into_values()
            .filter_map(|entry| entry.retire(now))
            .collect();
        self.keys = bundle
            .accounts
            .iter()
            .map(|(key, account)| (account.id.clone(), key))
            .collect();
    }

    /// Installs allotments. Returns `false` and changes nothing if they are for another holder,
    /// their generation is not higher, or the instance is shutting down.
    pub fn install(&mut self, allotments: &Allotments, now: Now) -> bool {
        let is_newer = self
            .generation
            .is_none_or(|own| own < allotments.generation);
        if allotments.holder != self.own || !is_newer || self.is_leaving {
            return false;
        }
        self.generation = Some(allotments.generation);
        let mut listed: HashMap<&str, &Allotment> = allotments
            .accounts
            .iter()
            .map(|allotment| (allotment.account.as_str(), allotment))
            .collect();
        for entry in &mut self.entries {
            let allotment = listed.remove(entry.name());
            entry.install(
                allotment,
                allotments.floor_until,
                allotments.surplus_until,
                now,
            );
        }
        true
    }

    /// Returns the share of the account's budget that may be spent here. Its burst does not include
    /// tokens lent to peers; unknown accounts have none.
    #[must_use]
    pub fn held_share(&self, account: AccountKey, now: MonoTime) -> Share {
        let entry = self.entries.get(usize::from(account));
        entry.map_or(Share::ZERO, |entry| entry.holding(now))
    }

    /// Returns the tokens of an account that can be lent to a borrower with the given demand, in
    /// thousandths per second, beyond those kept for the next 250 ms of own demand. If there are
    /// none beyond, one token is still lent to a borrower with more than twice the own demand.
    #[must_use]
    pub fn spare_tokens(
        &mut self,
        account: AccountKey,
        borrower_demand_milli: u64,
        now: MonoTime,
    ) -> u64 {
        let entry = self.entries.get_mut(usize::from(account));
        entry.map_or(0, |entry| entry.spare_tokens(borrower_demand_milli, now))
    }

    /// Returns the account's demand as of the last report, in thousandths per second.
    #[must_use]
    pub fn demand_milli(&self, account: AccountKey) -> u64 {
        let entry = self.entries.get(usize::from(account));
        entry.map_or(0, AccountBudget::demand_milli)
    }

    /// Returns the tokens missing for the next 250 ms of the account's demand, to be requested from
    /// peers.
    #[must_use]
    pub fn shortfall(&mut self, account: AccountKey, now: MonoTime) -> u64 {
        let entry = self.entries.get_mut(usize::from(account));
        entry.map_or(0, |entry| entry.shortfall(now))
    }

    /// Removes up to `tokens` of an account's tokens and returns them as a transfer to a peer, or
    /// `None` if there are none to lend.
    pub fn lend(
        &mut self,
        account: AccountKey,
        to: &InstanceId,
        tokens: u64,
        now: Now,
    ) -> Option<Transfer> {
        let entry = self.entries.get_mut(usize::from(account))?;
        let number = self.last_number + 1;
        let (tokens, until) = entry.lend(tokens, number, now)?;
        self.last_number = number;
        Some(Transfer {
            id: TransferId {
                from: self.own.clone(),
                number,
            },
            to: to.clone(),
            account: entry.name().to_owned(),
            tokens,
            until,
        })
    }

    /// Returns the borrowed transfers whose last token was spent since the last call, to be
    /// acknowledged to their lenders.
    pub fn take_spent_transfers(&mut self) -> Vec<Transfer> {
        let entries = self.entries.iter_mut();
        entries
            .flat_map(AccountBudget::take_spent_transfers)
            .collect()
    }

    /// Records that the borrower has spent a transfer, which returns its tokens to the burst here.
    pub fn acknowledge(&mut self, transfer: &Transfer, now: MonoTime) {
        let Some(key) = self.keys.get(&transfer.account) else {
            return;
        };
        if transfer.id.from == self.own {
            self.entries[usize::from(*key)].acknowledge(transfer.id.number, now);
        }
    }

    /// Adds the tokens of a transfer, at most once. They are spent before own tokens, and never
    /// after the deadline of the transfer.
    pub fn receive(&mut self, transfer: &Transfer, now: Now) -> Receipt {
        if transfer.to != self.own || self.is_leaving {
            return Receipt::NotAddressee;
        }
        if self.received.contains_key(&transfer.id) {
            return Receipt::Duplicate;
        }
        if transfer.until.is_past(now.unix) {
            return Receipt::Expired;
        }
        let Some(key) = self.keys.get(&transfer.account) else {
            return Receipt::UnknownAccount;
        };
        if self.received.len() >= MAX_REMEMBERED_TRANSFERS {
            self.received
                .retain(|_, forget_at| !forget_at.is_past(now.mono));
        }
        if self.received.len() >= MAX_REMEMBERED_TRANSFERS {
            return Receipt::Full;
        }
        let until = now.to_mono(transfer.until);
        self.received
            .insert(transfer.id.clone(), until.after(MAX_CLOCK_SKEW));
        self.entries[usize::from(*key)].receive(transfer, until);
        Receipt::Added
    }

    /// Gives up all holdings and installs nothing any more, as a step of a graceful shutdown.
    pub fn leave(&mut self, now: MonoTime) {
        self.is_leaving = true;
        for entry in &mut self.entries {
            entry.clear(now);
        }
    }

    /// Measures the demand since the last report and returns the report to send.
    pub fn report(&mut self, now: MonoTime) -> Report {
        let mut demand_milli = BTreeMap::new();
        for entry in &mut self.entries {
            let demand = entry.measure_demand(now);
            if demand > 0 {
                demand_milli.insert(entry.name().to_owned(), demand);
            }
        }
        let is_covered = self.entries.iter().all(|entry| entry.is_covered(now));
        let has_lent = self.entries.iter().any(|entry| entry.has_lent(now));
        Report {
            instance: self.own.clone(),
            confirmed_generation: self.generation.filter(|_| is_covered),
            is_leaving: self.is_leaving && !has_lent,
            demand_milli,
        }
    }

    /// Returns the generation installed last, or `None` before the first.
    #[must_use]
    pub fn generation(&self) -> Option<u64> {
        self.generation
    }
}
