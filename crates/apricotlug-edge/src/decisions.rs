//! Per-process decision state: budgets, placement and retries behind one lock, orders behind
//! another. Each call holds a lock for one decision.

use std::sync::{Mutex, MutexGuard, PoisonError};

use apricotlug_model::{
    AccountKey, Bundle, BundleVersion, DataCentreKey, InstanceId, MonoTime, Repeat, ServiceKey,
    UnixTime,
};
use apricotlug_policy::{
    budget::{Admission, Budgets},
    order::{AttemptState, OrderLimits, OrderTable},
    placement::{
        Outcome, PlacedRequest, Placement, PlacementConstraints, PlacementRefusal, Refusal,
        TransferredBytes,
    },
    retry::RetryBudget,
};
use rand::rngs::SmallRng;

use crate::move_tracker::{MoveTracker, VersionDraw};

/// State that exists only once a bundle is in force.
#[derive(Debug)]
struct Decisions {
    budgets: Budgets,
    placement: Placement,
}

#[derive(Debug)]
struct State {
    bundle: BundleVersion,
    decisions: Option<Decisions>,
    retry_budget: RetryBudget,
    rng: SmallRng,
}

/// Whether a request tries to be admitted for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionTry {
    /// First try, which counts towards the account's demand.
    First,
    /// Later try of a request that waits for a token.
    Waiting,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAdmitted {
    /// The request was resolved against a bundle that is no longer in force; keys differ between
    /// bundles.
    OtherBundle,
    /// The client account has no token left on this instance.
    OverRate {
        /// Earliest time at which a retry may succeed.
        retry_at: MonoTime,
    },
}

/// Decision state of the process.
#[derive(Debug)]
pub struct DecisionState {
    identity: InstanceId,
    state: Mutex<State>,
    orders: Mutex<OrderTable>,
    kept_answer_bytes: usize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DecisionState {
    /// Creates the state of a process that has no bundle yet.
    #[must_use]
    pub fn new(identity: InstanceId, rng: SmallRng) -> Self {
        let limits = OrderLimits::default();
        Self {
            identity,
            state: Mutex::new(State {
                bundle: BundleVersion(0),
                decisions: None,
                retry_budget: RetryBudget::default(),
                rng,
            }),
            orders: Mutex::new(OrderTable::new(limits)),
            kept_answer_bytes: limits.max_answer_bytes,
        }
    }

    /// Applies a new bundle, and calls `publish` before any decision is made with it. `old` is
    /// `None` for the first bundle.
    pub fn set_bundle(
        &self,
        old: Option<&Bundle>,
        new: &Bundle,
        home: DataCentreKey,
        now: MonoTime,
        publish: impl FnOnce(&mut Placement),
    ) {
        let mut state = lock(&self.state);
        match (&mut state.decisions, old) {
            (Some(decisions), Some(old)) => {
                decisions.budgets.set_bundle(new, now);
                decisions.placement.update(old, new, now);
            }
            (decisions, _) => {
                *decisions = Some(Decisions {
                    budgets: Budgets::new(self.identity.clone(), new, now),
                    placement: Placement::without_slots(new, home, now),
                });
            }
        }
        state.bundle = new.version;
        if let Some(decisions) = &mut state.decisions {
            publish(&mut decisions.placement);
        }
    }

    /// Calls `change` with the budgets; returns `None` before the first bundle.
    pub fn with_budgets<T>(&self, change: impl FnOnce(&mut Budgets) -> T) -> Option<T> {
        lock(&self.state)
            .decisions
            .as_mut()
            .map(|decisions| change(&mut decisions.budgets))
    }

    /// Calls `change` with the placement; returns `None` before the first bundle.
    pub fn with_placement<T>(&self, change: impl FnOnce(&mut Placement) -> T) -> Option<T> {
        lock(&self.state)
            .decisions
            .as_mut()
            .map(|decisions| change(&mut decisions.placement))
    }

    /// Admits a request of a client account, and takes a token.
    ///
    /// # Errors
    /// Returns an error where the account is over its rate or `bundle` is not in force.
    pub fn admit(
        &self,
        bundle: &Bundle,
        account: AccountKey,
        arrival: AdmissionTry,
        now: MonoTime,
    ) -> Result<(), NotAdmitted> {
        let mut state = lock(&self.state);
        if state.bundle != bundle.version {
            return Err(NotAdmitted::OtherBundle);
        }
        let Some(decisions) = &mut state.decisions else {
            return Err(NotAdmitted::OtherBundle);
        };
        let admission = match arrival {
            AdmissionTry::First => decisions.budgets.admit(account, now),
            AdmissionTry::Waiting => decisions.budgets.admit_waiting(account, now),
        };
        match admission {
            Admission::Granted => Ok(()),
            Admission::Refused { retry_at } => Err(NotAdmitted::OverRate { retry_at }),
        }
    }

    /// Draws the version of a request for a service.
    pub fn draw(
        &self,
        moves: &MoveTracker,
        bundle: &Bundle,
        service: ServiceKey,
        now: MonoTime,
        unix: UnixTime,
    ) -> VersionDraw {
        moves.draw(bundle, service, now, unix, &mut lock(&self.state).rng)
    }

    /// Places a request on a backend server. With `is_shifted_in`, its client's home is another
    /// region, and it counts against the shift cap.
    ///
    /// # Errors
    /// Returns the reason where no backend server can take the request.
    pub fn place(
        &self,
        bundle: &Bundle,
        constraints: &PlacementConstraints<'_>,
        arrived_at: MonoTime,
        is_shifted_in: bool,
        now: MonoTime,
    ) -> Result<PlacedRequest, PlacementRefusal> {
        let mut state = lock(&self.state);
        let State { decisions, rng, .. } = &mut *state;
        let Some(decisions) = decisions else {
            return Err(PlacementRefusal {
                reason: Refusal::NoEndpoint,
                retry_at: now,
            });
        };
        let placement = &mut decisions.placement;
        match is_shifted_in {
            true => placement.place_shifted_in(bundle, constraints, arrived_at, now, rng),
            false => placement.place_or_wait(bundle, constraints, arrived_at, now, rng),
        }
    }

    /// Frees the slot of a placed request and reports the outcome to placement.
    pub fn settle(&self, placed: &PlacedRequest, outcome: Outcome, now: MonoTime) {
        if let Some(decisions) = &mut lock(&self.state).decisions {
            decisions.placement.settle(placed.ticket, outcome, now);
        }
    }

    /// Charges the bytes of a placed request to the links between regions.
    pub fn charge_bytes(&self, placed: &PlacedRequest, bytes: TransferredBytes, now: MonoTime) {
        if let Some(decisions) = &mut lock(&self.state).decisions {
            decisions.placement.charge_bytes(placed.ticket, bytes, now);
        }
    }

    /// Counts a request towards the retry budget.
    pub fn on_request(&self, now: MonoTime) {
        lock(&self.state).retry_budget.record_request(now);
    }

    /// Returns whether a request may be retried, and charges the retry budget if so.
    pub fn may_retry(
        &self,
        now: MonoTime,
        deadline: MonoTime,
        attempt: u32,
        repeat: Repeat,
        attempt_state: AttemptState,
    ) -> bool {
        let retry_budget = &mut lock(&self.state).retry_budget;
        retry_budget
            .try_retry(now, deadline, attempt, repeat, attempt_state)
            .is_retry()
    }

    /// Locks and returns the table of orders.
    pub fn orders(&self) -> MutexGuard<'_, OrderTable> {
        lock(&self.orders)
    }

    /// Returns the size of the largest answer kept for repeats, in bytes.
    #[must_use]
    pub fn kept_answer_bytes(&self) -> usize {
        self.kept_answer_bytes
    }
}
