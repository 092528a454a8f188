//! Parts of the orders that were weighed against the gate on rank and that act between requests.

use super::{Event, RANKS, Simulation, TARGET_MS, WINDOW_MS, WORK_MS, at, choice_request};

impl Simulation {
    /// Sends queued requests to free slots, the rank that has got least by its weight first.
    pub(super) fn drain_queue(&mut self, i: usize) {
        loop {
            for queue in 0..RANKS {
                while let Some(first) = self.instances[i].queues[queue].front().copied() {
                    let limits = self.limits(first);
                    if limits.target_left_ms > WORK_MS {
                        break;
                    }
                    self.instances[i].queues[queue].pop_front();
                    self.refuse(i, first, limits, WORK_MS);
                }
            }
            let now = at(self.now);
            let choice_request = choice_request(&self.share, &[]);
            let instance = &mut self.instances[i];
            let chosen = instance.fleet.choose(&choice_request, TARGET_MS, now);
            let Some(choice) = chosen.ok().filter(|choice| choice.wait_ms <= 0.0) else {
                return;
            };
            let waiting = (0..RANKS).filter(|rank| !instance.queues[*rank].is_empty());
            let next = waiting.min_by(|a, b| instance.taken[*a].total_cmp(&instance.taken[*b]));
            let Some(next) = next else {
                return;
            };
            instance.taken[next] += [1.0, 3.0, 9.0][next];
            if let Some(request) = instance.queues[next].pop_front() {
                self.send(i, request, choice);
            }
        }
    }

    /// Moves the cut and the credits of an instance by the mean wait of its last window.
    pub(super) fn end_window(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        let (sum, count) = std::mem::take(&mut instance.waits);
        let is_short_of_room = sum / f64::max(count, 1.0) > 0.5 * (f64::from(TARGET_MS) - WORK_MS);
        if is_short_of_room {
            instance.cut = (instance.cut * 0.95).max(0.05);
            instance.credits = (instance.credits * 0.9).max(1.0);
        } else {
            instance.cut = (instance.cut + 0.01).min(1.0);
            instance.credits += 0.5;
        }
        self.push(WINDOW_MS, Event::Window(i));
    }
}
