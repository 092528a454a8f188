//! Bounded first-in, first-out queues of requests that wait for a slot of a service.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use apricotlug_model::{HashMap, MonoTime, ServiceKey};
use apricotlug_policy::placement::{WaitQueue, WaitingRequest};
use async_std::{
    channel::{Receiver, Sender, bounded},
    future::timeout,
};

use crate::clock::Clock;

/// Largest number of requests in one queue.
const MAX_QUEUED: usize = 64;

/// Longest time for which a request waits for a slot.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Longest time between two tries of a waiting request.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Identifies a queue. Requests of other regions' clients have a separate queue, since one that
/// waits for the shift cap must not block a local one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct QueueKey {
    /// Service whose slots the requests wait for.
    pub service: ServiceKey,
    /// Whether the clients' home is another region.
    pub is_shifted_in: bool,
}

/// Requests that wait for a slot, by queue.
#[derive(Debug, Default)]
pub struct SlotQueues(Mutex<HashMap<QueueKey, WaitQueue<Sender<()>>>>);

/// Position of a request in a queue; abandoned when dropped.
#[derive(Debug)]
pub struct QueueEntry {
    queue: QueueKey,
    expires_at: MonoTime,
    rx: Receiver<()>,
}

impl SlotQueues {
    fn lock(&self) -> MutexGuard<'_, HashMap<QueueKey, WaitQueue<Sender<()>>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time until which a request waits: at most `MAX_WAIT` after `arrived_at`, and at
    /// most a quarter of the time to its deadline.
    #[must_use]
    pub fn expires_at(arrived_at: MonoTime, deadline: MonoTime) -> MonoTime {
        arrived_at.after(MAX_WAIT.min(deadline.since(arrived_at) / 4))
    }

    /// Adds a request to a queue; `None` where the queue is full.
    pub fn enqueue(&self, queue: QueueKey, expires_at: MonoTime) -> Option<QueueEntry> {
        let (tx, rx) = bounded(1);
        let mut queues = self.lock();
        let waiting = queues
            .entry(queue)
            .or_insert_with(|| WaitQueue::new(MAX_QUEUED));
        drop_abandoned(waiting);
        waiting.push(tx, expires_at).ok()?;
        Some(QueueEntry {
            queue,
            expires_at,
            rx,
        })
    }

    /// Waits until a slot may be free. Returns whether the request should retry placement; false
    /// once its wait limit is over.
    pub async fn wait(&self, entry: &mut QueueEntry, clock: &Clock) -> bool {
        if entry.expires_at.is_past(clock.now()) {
            return false;
        }
        // Slots also become free by changes of the share or the shift cap, which wake no request.
        let wait_time = POLL_INTERVAL.min(clock.remaining(entry.expires_at));
        if timeout(wait_time, entry.rx.recv()).await.is_ok() {
            self.requeue(entry);
        }
        true
    }

    /// Puts a woken request back at the front of its queue, in case it finds no slot.
    fn requeue(&self, entry: &mut QueueEntry) {
        let (tx, rx) = bounded(1);
        let mut queues = self.lock();
        let queue = queues
            .entry(entry.queue)
            .or_insert_with(|| WaitQueue::new(MAX_QUEUED));
        queue.push_front(WaitingRequest {
            request: tx,
            expires_at: entry.expires_at,
        });
        entry.rx = rx;
    }

    /// Wakes the longest-waiting request of the given queue or, where it is empty, of the other
    /// queue of the same service.
    pub fn wake(&self, queue: QueueKey) {
        let other_queue = QueueKey {
            is_shifted_in: !queue.is_shifted_in,
            ..queue
        };
        let mut queues = self.lock();
        for queue in [queue, other_queue] {
            let Some(waiting) = queues.get_mut(&queue) else {
                continue;
            };
            while let Some(first) = waiting.pop() {
                // A request that was placed or gave up has dropped its receiver.
                if first.request.try_send(()).is_ok() {
                    return;
                }
            }
        }
    }

    /// Returns whether requests wait in the queue, which a new one must not overtake.
    #[must_use]
    pub fn has_waiting(&self, queue: QueueKey) -> bool {
        let mut queues = self.lock();
        queues.get_mut(&queue).is_some_and(|queue| {
            drop_abandoned(queue);
            !queue.is_empty()
        })
    }
}

/// Removes requests at the front that were placed or gave up.
fn drop_abandoned(queue: &mut WaitQueue<Sender<()>>) {
    while let Some(waiting) = queue.pop() {
        if !waiting.request.is_closed() {
            queue.push_front(waiting);
            return;
        }
    }
}
