//! Memory for bodies, in pages that are kept for the next body when one has ended.
//!
//! The allocator need not give small pieces back to the operating system: after a crowd of bodies they
//! would stay with the process and count as free. Pages that were allocated once are never freed, and
//! are used before any new one. So the memory for bodies is that of the most pages that were in use
//! at one time, whichever bodies had them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Length of a page, in bytes.
pub const PAGE_BYTES: usize = 4 * 1024;

/// Pages of an instance.
#[derive(Debug, Default)]
pub struct PagePool {
    free: Mutex<Vec<Box<[u8]>>>,
}

impl PagePool {
    fn take(self: &Arc<Self>) -> Page {
        let free = self.lock().pop();
        Page {
            bytes: free.unwrap_or_else(|| vec![0; PAGE_BYTES].into_boxed_slice()),
            pool: Arc::clone(self),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Box<[u8]>>> {
        self.free.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Page in use; free again when it is dropped.
#[derive(Debug)]
struct Page {
    bytes: Box<[u8]>,
    pool: Arc<PagePool>,
}

impl Drop for Page {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.pool.lock().push(bytes);
    }
}

/// Bytes in pages, of which the last one may be filled in part.
#[derive(Debug)]
pub struct PagedBytes {
    pages: Vec<Page>,
    len: usize,
    pool: Arc<PagePool>,
}

impl PagedBytes {
    /// Creates an empty sequence, whose pages will come from a pool.
    #[must_use]
    pub fn new(pool: Arc<PagePool>) -> Self {
        Self {
            pages: Vec::new(),
            len: 0,
            pool,
        }
    }

    /// Returns the number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the bytes of the pages in use.
    #[must_use]
    pub fn held(&self) -> usize {
        self.pages.len() * PAGE_BYTES
    }

    /// Iterates over the bytes page by page, in order.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        let starts = (0..self.len).step_by(PAGE_BYTES);
        let pages = self.pages.iter().zip(starts);
        pages.map(|(page, start)| &page.bytes[..PAGE_BYTES.min(self.len - start)])
    }

    /// Appends bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let start = self.len % PAGE_BYTES;
            if start == 0 {
                self.pages.push(self.pool.take());
            }
            let Some(page) = self.pages.last_mut() else {
                return;
            };
            let (now, rest) = bytes.split_at(bytes.len().min(PAGE_BYTES - start));
            page.bytes[start..start + now.len()].copy_from_slice(now);
            self.len += now.len();
            bytes = rest;
        }
    }
}
