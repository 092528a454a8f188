//! The record of a run: one line for each thing that was sent, answered or run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let out = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self {
            start: Instant::now(),
            out,
        })
    }

    /// Milliseconds since the start of the run.
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        let mut out = self.out.lock().unwrap();
        // A record that cannot be written fails the run at its end, in `flush`.
        let _ = writeln!(out, "{ms:>7} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn flush(&self) -> std::io::Result<()> {
        self.out.lock().unwrap().flush()
    }
}

/// A short digest (FNV-1a, 64 bits).
pub fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Pseudo-random numbers (xorshift).
pub struct Draws(u64);

impl Draws {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 >> 11
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }
}
