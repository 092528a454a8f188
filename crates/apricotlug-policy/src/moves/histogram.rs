//! Latency histogram with logarithmic buckets.

use std::{array, time::Duration};

use serde::{Deserialize, Serialize};

/// Number of bits after a value's leading 1 that select the bucket: four buckets per octave.
const SUB_BITS: u32 = 2;

/// Number of buckets; the last one starts at about 115 s and has no upper bound.
pub(super) const BUCKETS: usize = 108;

/// Histogram of latencies in microseconds; its buckets are 14 to 25% wide.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogHistogram {
    counts: [u64; BUCKETS],
}

impl Default for LogHistogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
        }
    }
}

impl LogHistogram {
    /// Counts one latency, rounded down to microseconds.
    pub fn record(&mut self, latency: Duration) {
        self.counts[bucket_of(latency)] += 1;
    }

    /// Returns the number of latencies counted.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Returns the counts by bucket, lowest latency first.
    #[must_use]
    pub fn counts(&self) -> &[u64] {
        &self.counts
    }

    /// Adds another histogram's counts, bucket by bucket.
    pub fn add(&mut self, other: &Self) {
        for (own, added) in self.counts.iter_mut().zip(other.counts) {
            *own += added;
        }
    }

    /// Returns the counts added since `earlier`, a former state of the same histogram.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            counts: array::from_fn(|i| self.counts[i].saturating_sub(earlier.counts[i])),
        }
    }
}

fn bucket_of(latency: Duration) -> usize {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    let octave = micros.max(1).ilog2();
    if octave < SUB_BITS {
        return micros as usize;
    }
    let sub = micros >> (octave - SUB_BITS) & ((1 << SUB_BITS) - 1);
    let bucket = ((octave - SUB_BITS + 1) << SUB_BITS) as usize + sub as usize;
    bucket.min(BUCKETS - 1)
}

/// Sparse serialized form: pairs of bucket index and count, without empty buckets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct HistogramWire(Vec<(u8, u64)>);

impl From<&LogHistogram> for HistogramWire {
    fn from(histogram: &LogHistogram) -> Self {
        let pairs = histogram.counts.iter().enumerate();
        Self(
            pairs
                .filter(|(_, count)| **count > 0)
                .map(|(bucket, count)| (bucket as u8, *count))
                .collect(),
        )
    }
}

impl From<HistogramWire> for LogHistogram {
    fn from(wire: HistogramWire) -> Self {
        let mut histogram = Self::default();
        for (bucket, count) in wire.0 {
            let bucket = usize::from(bucket).min(BUCKETS - 1);
            histogram.counts[bucket] = histogram.counts[bucket].saturating_add(count);
        }
        histogram
    }
}

impl Serialize for LogHistogram {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        HistogramWire::from(self).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for LogHistogram {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        HistogramWire::deserialize(deserializer).map(Self::from)
    }
}
