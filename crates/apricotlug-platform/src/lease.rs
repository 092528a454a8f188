//! Leases, with the holder's own deadline that lies before the platform's.

use std::time::Duration;

use apricotlug_model::MonoTime;

use crate::{
    CallKind, Client, Error, Result,
    wire::{Int64, LeaseRequest, LeaseResponse, Streamed},
};

/// Part of a lease's time, as a divisor, that the holder leaves unused: more than two clocks
/// drift apart while the lease lasts.
const MARGIN_DIVISOR: u32 = 8;

/// Id of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub i64);

/// Lease as its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Id.
    pub id: LeaseId,
    /// Point on the holder's clock from which it must not rely on the lease.
    pub deadline: MonoTime,
}

impl Lease {
    /// Tells whether the holder may still rely on the lease. To be asked after each wait and
    /// before each effect, since the process may have been paused.
    #[must_use]
    pub fn is_held(&self, now: MonoTime) -> bool {
        !self.deadline.is_past(now)
    }
}

impl Client {
    /// Grants a lease for a time, in whole seconds, rounded up.
    ///
    /// The client chooses the id, so that an answer lost after the effect leaves no second lease.
    ///
    /// # Errors
    /// When no attempt brought a usable answer.
    pub async fn grant(&self, ttl: Duration) -> Result<Lease> {
        let id = self.draw_lease_id();
        let seconds = ttl.as_millis().div_ceil(1000).max(1);
        let req = LeaseRequest {
            ID: Int64(id),
            TTL: Some(Int64(i64::try_from(seconds).unwrap_or(i64::MAX))),
        };
        let mut backoff = self.backoff();
        let sent_at = self.now();
        let mut is_uncertain = false;
        let mut attempts_left = self.cfg().attempts;
        loop {
            attempts_left = attempts_left.saturating_sub(1);
            let answer = self
                .call::<LeaseResponse>(CallKind::Lease, "/v3/lease/grant", &req)
                .await;
            match answer {
                Ok(answer) => return Ok(held(id, sent_at, answer.TTL.0)),
                // An id that exists already is the one that an earlier attempt brought about.
                Err(Error::Refused { .. }) if is_uncertain => {
                    return Ok(held(id, sent_at, seconds as i64));
                }
                Err(e) if e.is_transient() && attempts_left > 0 => {
                    is_uncertain |= !e.is_not_run();
                    self.wait(&mut backoff).await;
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Extends a lease.
    ///
    /// # Errors
    /// `Error::LeaseLost` when it has run out; otherwise when the attempt brought no usable
    /// answer, and the lease keeps its deadline.
    pub async fn keep_alive(&self, lease: &mut Lease) -> Result<()> {
        if !lease.is_held(self.now()) {
            return Err(Error::LeaseLost);
        }
        let req = LeaseRequest {
            ID: Int64(lease.id.0),
            TTL: None,
        };
        let sent_at = self.now();
        let answer: Streamed<LeaseResponse> = self
            .call(CallKind::Lease, "/v3/lease/keepalive", &req)
            .await?;
        if answer.result.TTL.0 <= 0 {
            lease.deadline = MonoTime::default();
            return Err(Error::LeaseLost);
        }
        *lease = held(lease.id.0, sent_at, answer.result.TTL.0);
        Ok(())
    }

    /// Revokes a lease; its keys are deleted with it.
    ///
    /// # Errors
    /// When no attempt brought a usable answer; the lease then runs out by itself.
    pub async fn revoke(&self, lease: Lease) -> Result<()> {
        let req = LeaseRequest {
            ID: Int64(lease.id.0),
            TTL: None,
        };
        let answer = self
            .call_repeated::<LeaseResponse>(CallKind::Lease, "/v3/lease/revoke", &req)
            .await;
        match answer {
            Ok(_) | Err(Error::Refused { .. }) => Ok(()),
            Err(e) => Err(e),
        }
    }
}

/// Returns a lease that counts from before the call was sent.
fn held(id: i64, sent_at: MonoTime, ttl_s: i64) -> Lease {
    let ttl = Duration::from_secs(u64::try_from(ttl_s).unwrap_or(0));
    Lease {
        id: LeaseId(id),
        deadline: sent_at.after(ttl - ttl / MARGIN_DIVISOR),
    }
}
