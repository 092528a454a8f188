//! Moves of traffic from one version of a service to another.
//!
//! A [`MoveRecord`] in the platform's key-value store holds the current stage; the instance that
//! leads the move advances it with [`advance`]. Two safeguards work without the leader: a [`Guard`]
//! in each instance sets a faulty version's share to zero at once, and [`share`] treats an
//! unfinished move as taken back from its deadline on.

mod advance;
mod baseline;
mod detector;
mod evidence;
mod guard;
mod histogram;
mod local;
mod record;
mod reports;
mod score;
mod share;

pub use advance::{FINISH_MARGIN, MIN_DWELL, Summary, advance, stage_due};
pub use detector::{Detector, Fault, Signal};
pub use evidence::{Counts, Evidence, Pair, Report, Sample, Side, Totals};
pub use guard::Guard;
pub use histogram::LogHistogram;
pub use local::LocalMove;
pub use record::{MoveId, MoveRecord, MoveRecordWire, MoveState, RecordError, TakeBackReason};
pub use reports::MoveReports;
pub use share::{ActiveMove, pick_version, share};
