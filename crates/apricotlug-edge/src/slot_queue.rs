//! Waiting for a slot of a service: short queues, first in, first out.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use apricotlug_model::{HashMap, MonoTime, ServiceKey};
use apricotlug_policy::placement::{WaitQueue, Waiting};
use async_std::{
    channel::{Receiver, Sender, bounded},
    future::timeout,
};

use crate::clock::Clock;

/// Most requests that wait for a slot of one service.
const MAX_QUEUED: usize = 64;

/// Longest time for which a request waits for a slot.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Longest pause between two tries of a waiting request.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Requests that wait for the same slots. Those of other regions' clients wait apart: one that
/// waits for the shift cap must not hold up a local one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct QueueKey {
    /// Service.
    pub service: ServiceKey,
    /// Whether the clients' home is another region.
    pub is_shifted_in: bool,
}

/// Requests that wait for a slot, by queue.
#[derive(Debug, Default)]
pub struct SlotQueues(Mutex<HashMap<QueueKey, WaitQueue<Sender<()>>>>);

/// QueueEntry of a request in a queue; given up when dropped.
#[derive(Debug)]
pub struct QueueEntry {
    queue: QueueKey,
    give_up_at: MonoTime,
    rx: Receiver<()>,
}

impl SlotQueues {
    fn lock(&self) -> MutexGuard<'_, HashMap<QueueKey, WaitQueue<Sender<()>>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the point up to which a request waits that arrived at `arrived_at`.
    #[must_use]
    pub fn give_up_at(arrived_at: MonoTime, deadline: MonoTime) -> MonoTime {
        arrived_at.after(MAX_WAIT.min(deadline.since(arrived_at) / 4))
    }

    /// Joins the queue of a service; `None` where it is full.
    pub fn enqueue(&self, queue: QueueKey, give_up_at: MonoTime) -> Option<QueueEntry> {
        let (tx, rx) = bounded(1);
        let mut queues = self.lock();
        let waiting = queues
            .entry(queue)
            .or_insert_with(|| WaitQueue::new(MAX_QUEUED));
        drop_abandoned(waiting);
        waiting.push(tx, give_up_at).ok()?;
        Some(QueueEntry {
            queue,
            give_up_at,
            rx,
        })
    }

    /// Waits until a slot may be free. Returns whether the request should try again: it should
    /// not once its time is over.
    pub async fn wait(&self, entry: &mut QueueEntry, clock: &Clock) -> bool {
        if entry.give_up_at.is_past(clock.now()) {
            return false;
        }
        // Slots also come free without a request of this instance ending: by shares and shifts.
        let wait_time = POLL_INTERVAL.min(clock.left(entry.give_up_at));
        if timeout(wait_time, entry.rx.recv()).await.is_ok() {
            self.requeue(entry);
        }
        true
    }

    /// Puts a request back to the front that was woken, in case that it finds no slot.
    fn requeue(&self, entry: &mut QueueEntry) {
        let (tx, rx) = bounded(1);
        let mut queues = self.lock();
        let queue = queues
            .entry(entry.queue)
            .or_insert_with(|| WaitQueue::new(MAX_QUEUED));
        queue.push_front(Waiting {
            request: tx,
            give_up_at: entry.give_up_at,
        });
        entry.rx = rx;
    }

    /// Wakes the request that has waited longest for a slot of the service: of the queue given, or
    /// else of its other_queue.
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
                // A request that has gone on or given up has dropped its end.
                if first.request.try_send(()).is_ok() {
                    return;
                }
            }
        }
    }

    /// Tells whether requests wait in the queue: a new one must not overtake them.
    #[must_use]
    pub fn has_waiting(&self, queue: QueueKey) -> bool {
        let mut queues = self.lock();
        queues.get_mut(&queue).is_some_and(|queue| {
            drop_abandoned(queue);
            !queue.is_empty()
        })
    }
}

/// Drops requests at the front that have gone on or given up.
fn drop_abandoned(queue: &mut WaitQueue<Sender<()>>) {
    while let Some(waiting) = queue.pop() {
        if !waiting.request.is_closed() {
            queue.push_front(waiting);
            return;
        }
    }
}
