//! Requests that wait for a slot.

use std::collections::VecDeque;

use apricotlug_model::MonoTime;

/// First-in, first-out queue of requests that found every slot taken.
///
/// It is short, so that a request that can't be served in time is refused early, while nothing
/// of it has run.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    waiting: VecDeque<Waiting<T>>,
    capacity: usize,
}

/// Waiting request with the point at which it gives up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting<T> {
    /// Request.
    pub request: T,
    /// Point from which it is refused.
    pub give_up_at: MonoTime,
}

impl<T> WaitQueue<T> {
    /// Returns an empty queue for `capacity` requests.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            waiting: VecDeque::new(),
            capacity,
        }
    }

    /// Appends a request.
    ///
    /// # Errors
    /// Returns the request where the queue is full; it must be refused as not run.
    pub fn push(&mut self, request: T, give_up_at: MonoTime) -> Result<(), T> {
        if self.waiting.len() >= self.capacity {
            return Err(request);
        }
        self.waiting.push_back(Waiting {
            request,
            give_up_at,
        });
        Ok(())
    }

    /// Puts a request that found no slot back to the front.
    pub fn push_front(&mut self, waiting: Waiting<T>) {
        self.waiting.push_front(waiting);
    }

    /// Takes the request that has waited longest, whether it gives up or not.
    pub fn pop(&mut self) -> Option<Waiting<T>> {
        self.waiting.pop_front()
    }

    /// Takes a request that gives up by `now`, if there is one.
    pub fn pop_expired(&mut self, now: MonoTime) -> Option<T> {
        let is_expired = |waiting: &Waiting<T>| waiting.give_up_at.is_past(now);
        let i = self.waiting.iter().position(is_expired)?;
        self.waiting.remove(i).map(|waiting| waiting.request)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
