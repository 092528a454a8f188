//! Turns of a task on its worker thread.

use futures_lite::future;

/// Work after which a task lets others run.
const MAX_WORK: u32 = 128;

/// Step of a task that may be ready at once, any number of times in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// One read from a socket, one write to it, or one connection accepted.
    Transfer,
    /// One line of a message that lies in the buffer already.
    BufferedLine,
}

impl Step {
    /// Returns the work of the step, in units of a buffered line.
    fn work(self) -> u32 {
        match self {
            Self::Transfer => 16,
            Self::BufferedLine => 1,
        }
    }
}

/// Work of a task since it last let others run.
///
/// The runtime runs a task until it waits, and looks at time limits only then. One whose input or
/// output is always ready never waits, so it has to end its turn by itself.
#[derive(Debug, Default)]
pub struct Turn {
    work: u32,
}

impl Turn {
    /// Counts a step that is about to be made. Lets other tasks run first if the turn is over.
    pub async fn take(&mut self, step: Step) {
        if self.work >= MAX_WORK {
            self.work = 0;
            future::yield_now().await;
        }
        self.work += step.work();
    }
}
