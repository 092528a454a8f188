//! Buffers for response bodies, with a limit on their bytes for all requests of an instance
//! together: a faulty backend server may send bytes without end to many requests at once.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use crate::pages::{PagePool, PagedBytes};

/// Most bytes that are buffered at one time. Every machine has several times as much memory.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// Bytes that the buffers of an instance hold at present, and may hold.
#[derive(Debug)]
pub struct BufferedBytes {
    held: AtomicUsize,
    max: AtomicUsize,
    pages: Arc<PagePool>,
}

impl Default for BufferedBytes {
    fn default() -> Self {
        Self {
            held: AtomicUsize::new(0),
            max: AtomicUsize::new(MAX_BUFFERED_BYTES),
            pages: Arc::default(),
        }
    }
}

impl BufferedBytes {
    /// Returns the number of bytes.
    #[must_use]
    pub fn get(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns the pages that the buffers use, and request bodies with them.
    pub(crate) fn pages(&self) -> &Arc<PagePool> {
        &self.pages
    }

    /// Lowers the most bytes that may be buffered while less memory is left than usual.
    pub fn set_max(&self, bytes: usize) {
        let max = bytes.min(MAX_BUFFERED_BYTES);
        self.max.store(max, Ordering::Relaxed);
    }
}

/// Buffer for one body. Its bytes are counted until it is dropped.
#[derive(Debug)]
pub struct BodyBuffer {
    content: PagedBytes,
    total: Arc<BufferedBytes>,
}

impl BodyBuffer {
    /// Creates an empty buffer whose bytes are added to a total.
    #[must_use]
    pub fn new(total: Arc<BufferedBytes>) -> Self {
        Self {
            content: PagedBytes::new(Arc::clone(&total.pages)),
            total,
        }
    }

    /// Appends a piece of the body. Returns whether more may be buffered.
    #[must_use]
    pub fn push(&mut self, piece: &[u8]) -> bool {
        let held = self.content.held();
        self.content.push(piece);
        let added = self.content.held() - held;
        let before = self.total.held.fetch_add(added, Ordering::Relaxed);
        before + added < self.total.max.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that were appended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.content.len()
    }

    /// Returns whether nothing was appended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Iterates over the bytes that were appended, page by page.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.content.pieces()
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.total
            .held
            .fetch_sub(self.content.held(), Ordering::Relaxed);
    }
}
