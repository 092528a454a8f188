//! Buffers for response bodies: their bytes in sum.

use std::sync::Arc;

use apricotlug_steer::{BodyBuffer, BufferedBytes};

const LIMIT: usize = 16 << 20;
const PIECE: [u8; 16 << 10] = [7; 16 << 10];

/// Guards against bytes that stay counted after their request has ended, in whatever way.
#[test]
fn buffered_bytes_are_bounded_in_sum_and_freed_with_their_buffers() {
    let total = Arc::new(BufferedBytes::default());
    let mut buffers = Vec::new();
    let is_full = || total.get() >= LIMIT;
    while !is_full() {
        let mut buffer = BodyBuffer::new(Arc::clone(&total));
        while buffer.len() < 1 << 20 && buffer.push(&PIECE) {}
        buffers.push(buffer);
    }
    // One piece beyond the limit.
    assert!(total.get() <= LIMIT + PIECE.len(), "{} bytes", total.get());
    let mut late = BodyBuffer::new(Arc::clone(&total));
    assert!(!late.push(&PIECE), "no more is buffered");
    let kept: Vec<_> = late.pieces().flatten().copied().collect();
    assert_eq!(kept, PIECE, "what has been read is kept");
    drop(buffers);
    let mut next = BodyBuffer::new(Arc::clone(&total));
    assert!(next.push(&PIECE), "there is room again");
    drop((late, next));
    assert_eq!(total.get(), 0);
}
