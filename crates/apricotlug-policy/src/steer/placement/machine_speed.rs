//! How long work takes on the machines of backend servers at the moment, as they report it.

use std::time::Duration;

use apricotlug_model::MonoTime;

use super::skill::Skill;

/// Weight of a new figure in the moving average of a backend server's figures.
const MEAN_GAIN: f64 = 0.05;

/// Share of the variance of service times that figures of an age must explain to be used.
const MIN_EXPLAINED: f64 = 0.02;

/// Range of the usable figures, in multiples of the usual time. One outside counts as its bound.
const FIGURE_RANGE: [f64; 2] = [0.25, 4.0];

/// Ages up to which figures are as good as each other. An older one than the last is not used.
const AGES: [Duration; 5] = [
    Duration::from_millis(25),
    Duration::from_millis(100),
    Duration::from_millis(400),
    Duration::from_millis(1_600),
    Duration::from_millis(6_400),
];

/// Last figure of one backend server and the mean of its figures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineSpeed {
    last: Option<(MonoTime, f64)>,
    mean: f64,
}

impl MachineSpeed {
    /// Records a figure in percent of the usual time. Ignores what is no positive number.
    pub fn on_report(&mut self, now: MonoTime, percent: f64) {
        if !percent.is_finite() || percent <= 0.0 {
            return;
        }
        let figure = (percent / 100.0).clamp(FIGURE_RANGE[0], FIGURE_RANGE[1]);
        self.mean = match self.last {
            Some(_) => self.mean + (figure - self.mean) * MEAN_GAIN,
            None => figure,
        };
        self.last = Some((now, figure));
    }

    /// Returns how much longer than on average work takes there by the last figure, as a share, and
    /// the class of the figure's age; `None` without a figure of usable age.
    ///
    /// Against its own average, a backend server that always reports the same says nothing.
    #[must_use]
    pub fn reading(&self, now: MonoTime) -> Option<SpeedReading> {
        let (at, figure) = self.last?;
        let age = now.since(at);
        let class = AGES.iter().position(|limit| age <= *limit)?;
        Some(SpeedReading {
            deviation: figure / self.mean - 1.0,
            class,
        })
    }
}

/// Figure of a backend server as of some time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedReading {
    deviation: f64,
    class: usize,
}

/// What is left of the figures' worth at each age, measured for the backend servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedSkill([Skill; AGES.len()]);

impl SpeedSkill {
    /// Returns the expected service time in multiples of the usual one; 1 without a reading, or
    /// where readings of its age predict nothing.
    #[must_use]
    pub fn factor(&self, reading: Option<SpeedReading>) -> f64 {
        let deviation = reading.map_or(0.0, |reading| {
            reading.deviation * self.0[reading.class].weight(MIN_EXPLAINED)
        });
        (1.0 + deviation).clamp(FIGURE_RANGE[0], FIGURE_RANGE[1])
    }

    /// Returns whether figures of any age predict service times.
    #[must_use]
    pub fn is_used(&self) -> bool {
        self.0.iter().any(|skill| skill.weight(MIN_EXPLAINED) > 0.0)
    }

    /// Records a service time, in multiples of the one that is usual there, of a request that was
    /// sent at the time of a reading.
    pub fn observe(&mut self, reading: SpeedReading, ratio: f64) {
        self.0[reading.class].observe(reading.deviation, ratio - 1.0);
    }
}
