//! Budgets of one instance: what it may admit for each client account.

use std::collections::BTreeMap;

use apricotlug_model::{AccountKey, Bundle, HashMap, InstanceId, MonoTime, UnixTime};

use crate::budget::{
    Admission, MAX_CLOCK_SKEW, Now, Part, Receipt, Transfer, TransferId, entry::Entry,
};

/// Largest number of received transfers that are remembered at once.
const MAX_LIVE_TRANSFERS: usize = 4_096;

/// Allotments of one instance for all client accounts, as the seat plan grants them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allotments {
    /// Incarnation that may spend them.
    pub holder: InstanceId,
    /// Grows with each change; an instance installs a higher generation only.
    pub generation: u64,
    /// End of the floors.
    pub floor_until: UnixTime,
    /// End of the surpluses.
    pub surplus_until: UnixTime,
    /// Parts by client account; an account that is not listed gets nothing.
    pub accounts: Vec<Allotment>,
}

/// Parts of one client account's budget that one instance may spend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allotment {
    /// Client account's name.
    pub account: String,
    /// Whole budget of the account in the bundle that the parts were cut from.
    pub budget: Part,
    /// Part under the long lease.
    pub floor: Part,
    /// Part under the short lease.
    pub surplus: Part,
}

/// What an instance tells the writer of its data centre's seats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Incarnation that reports.
    pub instance: InstanceId,
    /// Generation that it keeps to, or `None` where it has none or has more tokens on their way
    /// than that generation leaves it.
    pub confirmed: Option<u64>,
    /// Whether it spends nothing any more and hands everything back.
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
    entries: Vec<Entry>,
    keys: HashMap<String, AccountKey>,
    retired: Vec<Entry>,
    seen: HashMap<TransferId, MonoTime>,
    last_number: u64,
}

impl Budgets {
    /// Returns budgets that admit nothing yet.
    #[must_use]
    pub fn new(own: InstanceId, bundle: &Bundle, now: MonoTime) -> Self {
        let mut budgets = Self {
            own,
            generation: None,
            is_leaving: false,
            entries: Vec::new(),
            keys: HashMap::default(),
            retired: Vec::new(),
            seen: HashMap::default(),
            last_number: 0,
        };
        budgets.set_bundle(bundle, now);
        budgets
    }

    /// Takes one token of a client account.
    pub fn admit(&mut self, account: AccountKey, now: MonoTime) -> Admission {
        match self.entries.get_mut(usize::from(account)) {
            Some(entry) => entry.admit(now),
            None => Admission::Refused { retry_at: now },
        }
    }

    /// Takes one token for a request that was refused before and has waited. It is no new arrival.
    pub fn admit_waiting(&mut self, account: AccountKey, now: MonoTime) -> Admission {
        match self.entries.get_mut(usize::from(account)) {
            Some(entry) => entry.admit_waiting(now),
            None => Admission::Refused { retry_at: now },
        }
    }

    /// Takes over another bundle. Accounts keep what they hold by name, scaled down where their
    /// budget has shrunk; new accounts start with nothing.
    pub fn set_bundle(&mut self, bundle: &Bundle, now: MonoTime) {
        let mut former: HashMap<String, Entry> = std::mem::take(&mut self.retired)
            .into_iter()
            .chain(std::mem::take(&mut self.entries))
            .map(|entry| (entry.name().to_owned(), entry))
            .collect();
        for (key, account) in bundle.accounts.iter() {
            let budget = Part::whole(account);
            let mut entry = former
                .remove(&account.id)
                .unwrap_or_else(|| Entry::new(account.id.clone(), now));
            entry.set_budget(budget, now);
            self.entries.push(entry);
            debug_assert_eq!(usize::from(key) + 1, self.entries.len());
        }
        self.retired = former
            .into_values()
            .filter_map(|entry| entry.retire(now))
            .collect();
        self.keys = bundle
            .accounts
            .iter()
            .map(|(key, account)| (account.id.clone(), key))
            .collect();
    }

    /// Installs allotments of a higher generation. Returns whether they were installed.
    pub fn install(&mut self, allotments: &Allotments, now: Now) -> bool {
        let is_news = self
            .generation
            .is_none_or(|own| own < allotments.generation);
        if allotments.holder != self.own || !is_news || self.is_leaving {
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

    /// Returns the part of the account's budget that may be spent here. Tokens on their way are not
    /// in it.
    #[must_use]
    pub fn held(&self, account: AccountKey, now: MonoTime) -> Part {
        let entry = self.entries.get(usize::from(account));
        entry.map_or(Part::ZERO, |entry| entry.holding(now))
    }

    /// Returns the tokens of an account that can be given to an asker with the given demand, in
    /// thousandths per second, without refusing own recent demand; the last token goes to an asker
    /// with a much higher demand.
    #[must_use]
    pub fn spare(&mut self, account: AccountKey, asker_milli: u64, now: MonoTime) -> u64 {
        let entry = self.entries.get_mut(usize::from(account));
        entry.map_or(0, |entry| entry.spare(asker_milli, now))
    }

    /// Returns the account's recent demand here, in thousandths per second.
    #[must_use]
    pub fn demand_milli(&self, account: AccountKey) -> u64 {
        let entry = self.entries.get(usize::from(account));
        entry.map_or(0, Entry::demand_milli)
    }

    /// Returns the tokens that the account's recent demand lacks here; peers may be asked for them.
    #[must_use]
    pub fn lack(&mut self, account: AccountKey, now: MonoTime) -> u64 {
        let entry = self.entries.get_mut(usize::from(account));
        entry.map_or(0, |entry| entry.lack(now))
    }

    /// Takes out up to a number of an account's tokens and returns them as a transfer, or `None`
    /// where there are none to give.
    pub fn give(
        &mut self,
        account: AccountKey,
        to: &InstanceId,
        tokens: u64,
        now: Now,
    ) -> Option<Transfer> {
        let entry = self.entries.get_mut(usize::from(account))?;
        let number = self.last_number + 1;
        let (tokens, until) = entry.give(tokens, number, now)?;
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

    /// Returns the transfers whose tokens have all been spent since the last call, so that their
    /// givers learn of it.
    pub fn take_spent(&mut self) -> Vec<Transfer> {
        let entries = self.entries.iter_mut();
        entries.flat_map(Entry::take_spent).collect()
    }

    /// Takes note that the receiver has spent a transfer.
    pub fn acknowledge(&mut self, transfer: &Transfer, now: MonoTime) {
        let Some(key) = self.keys.get(&transfer.account) else {
            return;
        };
        if transfer.id.from == self.own {
            self.entries[usize::from(*key)].acknowledge(transfer.id.number, now);
        }
    }

    /// Adds a transfer, at most once. Its tokens are spent before own ones, and not after its deadline.
    pub fn receive(&mut self, transfer: &Transfer, now: Now) -> Receipt {
        if transfer.to != self.own || self.is_leaving {
            return Receipt::NotAddressee;
        }
        if self.seen.contains_key(&transfer.id) {
            return Receipt::Duplicate;
        }
        if transfer.until.is_past(now.unix) {
            return Receipt::Expired;
        }
        let Some(key) = self.keys.get(&transfer.account) else {
            return Receipt::UnknownAccount;
        };
        if self.seen.len() >= MAX_LIVE_TRANSFERS {
            self.seen
                .retain(|_, forget_at| !forget_at.is_past(now.mono));
        }
        if self.seen.len() >= MAX_LIVE_TRANSFERS {
            return Receipt::Full;
        }
        let until = now.to_mono(transfer.until);
        self.seen
            .insert(transfer.id.clone(), until.after(MAX_CLOCK_SKEW));
        self.entries[usize::from(*key)].receive(transfer, until);
        Receipt::Added
    }

    /// Gives up everything for good, as a step of a graceful shutdown.
    pub fn leave(&mut self, now: MonoTime) {
        self.is_leaving = true;
        for entry in &mut self.entries {
            entry.clear(now);
        }
    }

    /// Measures demand since the last report and says what is held.
    pub fn report(&mut self, now: MonoTime) -> Report {
        let mut demand_milli = BTreeMap::new();
        for entry in &mut self.entries {
            let demand = entry.measure_demand(now);
            if demand > 0 {
                demand_milli.insert(entry.name().to_owned(), demand);
            }
        }
        let is_covered = self.entries.iter().all(|entry| entry.is_covered(now));
        let has_sent = self.entries.iter().any(|entry| entry.has_sent(now));
        Report {
            instance: self.own.clone(),
            confirmed: self.generation.filter(|_| is_covered),
            is_leaving: self.is_leaving && !has_sent,
            demand_milli,
        }
    }

    /// Returns the generation installed last.
    #[must_use]
    pub fn generation(&self) -> Option<u64> {
        self.generation
    }
}
