//! Buffers for response bodies, with a limit on their bytes for all requests of an instance
//! together: a faulty backend server may send bytes without end to many requests at once.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Most bytes that are buffered at one time. Every machine has several times as much memory.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// Bytes that the buffers of an instance hold at present.
#[derive(Debug, Default)]
pub struct BufferedBytes(AtomicUsize);

impl BufferedBytes {
    /// Returns the number of bytes.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Buffer for one body. Its bytes are counted until it is dropped.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    /// Capacity that has been added to `total`.
    counted: usize,
    total: Arc<BufferedBytes>,
}

impl BodyBuffer {
    /// Creates an empty buffer whose bytes are added to a total.
    #[must_use]
    pub fn new(total: Arc<BufferedBytes>) -> Self {
        Self {
            bytes: Vec::new(),
            counted: 0,
            total,
        }
    }

    /// Appends a piece of the body. Returns whether more may be buffered.
    #[must_use]
    pub fn push(&mut self, piece: &[u8]) -> bool {
        self.bytes.extend_from_slice(piece);
        let added = self.bytes.capacity() - self.counted;
        self.counted += added;
        let before = self.total.0.fetch_add(added, Ordering::Relaxed);
        before + added < MAX_BUFFERED_BYTES
    }

    /// Returns the bytes that were appended.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.total.0.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
