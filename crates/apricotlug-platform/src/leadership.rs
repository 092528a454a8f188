//! Leadership: a key bound to a lease, with a fencing number that rises from holder to holder.

use std::time::Duration;

use apricotlug_model::MonoTime;

use crate::{Client, Error, Fence, Lease, Result, Swap};

const PREFIX: &str = "leader/";

/// Leadership as its holder sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// Condition to write under: `create_revision` is the fencing number.
    pub fence: Fence,
    lease: Lease,
}

impl Leadership {
    /// Returns the fencing number.
    #[must_use]
    pub fn fencing(&self) -> i64 {
        self.fence.create_revision
    }

    /// Returns the point from which the holder must not act any more.
    #[must_use]
    pub fn deadline(&self) -> MonoTime {
        self.lease.deadline
    }

    /// Tells whether the holder may still act.
    #[must_use]
    pub fn is_held(&self, now: MonoTime) -> bool {
        self.lease.is_held(now)
    }
}

impl Client {
    /// Acquires a leadership that nobody holds; returns `None` where somebody does.
    ///
    /// # Errors
    /// When the platform can't be asked, or it is unknown whether the key was written; the lease
    /// then runs out by itself.
    pub async fn acquire(
        &self,
        name: &str,
        holder: &str,
        ttl: Duration,
    ) -> Result<Option<Leadership>> {
        let key = format!("{PREFIX}{name}");
        if self.get(&key).await?.is_some() {
            return Ok(None);
        }
        let lease = self.grant(ttl).await?;
        let swap = self
            .swap(&key, None, holder.as_bytes(), lease.id.0, None)
            .await?;
        match swap {
            Swap::Written { revision, .. } => Ok(Some(Leadership {
                fence: Fence {
                    key,
                    create_revision: revision,
                },
                lease,
            })),
            Swap::Conflict { .. } | Swap::Fenced => {
                self.revoke(lease).await?;
                Ok(None)
            }
            Swap::Unknown => Err(Error::Broken(format!("{key} may be held"))),
        }
    }

    /// Extends a leadership.
    ///
    /// # Errors
    /// `Error::LeaseLost` when it has passed on; otherwise the deadline stands.
    pub async fn renew(&self, leadership: &mut Leadership) -> Result<()> {
        self.keep_alive(&mut leadership.lease).await
    }

    /// Gives a leadership up, so that another holder may have it at once.
    ///
    /// # Errors
    /// When no attempt brought a usable answer; the leadership then runs out by itself.
    pub async fn resign(&self, leadership: Leadership) -> Result<()> {
        self.revoke(leadership.lease).await
    }
}
