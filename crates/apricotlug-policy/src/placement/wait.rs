//! Queue of requests that wait for a slot.

use std::collections::VecDeque;

use apricotlug_model::MonoTime;

/// Bounded first-in, first-out queue of requests that found every slot occupied.
///
/// The capacity should be small, so that a request that can't be served in time is refused early,
/// before any of it has run.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    waiting: VecDeque<WaitingRequest<T>>,
    capacity: usize,
}

/// Waiting request with the end of its wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest<T> {
    /// Request, as passed to [`WaitQueue::push`].
    pub request: T,
    /// Time from which the request is refused.
    pub expires_at: MonoTime,
}

impl<T> WaitQueue<T> {
    /// Creates an empty queue for at most `capacity` requests.
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
    /// Returns the request if the queue is full; it must be refused as not run.
    pub fn push(&mut self, request: T, expires_at: MonoTime) -> Result<(), T> {
        if self.waiting.len() >= self.capacity {
            return Err(request);
        }
        self.waiting.push_back(WaitingRequest {
            request,
            expires_at,
        });
        Ok(())
    }

    /// Returns a request that found no slot to the front of the queue, regardless of capacity.
    pub fn push_front(&mut self, waiting: WaitingRequest<T>) {
        self.waiting.push_front(waiting);
    }

    /// Removes the request at the front, expired or not.
    pub fn pop(&mut self) -> Option<WaitingRequest<T>> {
        self.waiting.pop_front()
    }

    /// Removes the first request that has expired by `now`, if any.
    pub fn pop_expired(&mut self, now: MonoTime) -> Option<T> {
        let is_expired = |waiting: &WaitingRequest<T>| waiting.expires_at.is_past(now);
        let i = self.waiting.iter().position(is_expired)?;
        self.waiting.remove(i).map(|waiting| waiting.request)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
