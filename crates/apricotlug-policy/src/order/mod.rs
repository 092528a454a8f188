//! At-most-once execution: attempt states and order tokens.
//!
//! A token is bound to one incarnation of one instance, and only that incarnation may run its
//! order. What the incarnation remembers decides a repeat; once the incarnation is gone, nobody
//! may run the order any more. No agreement between instances is needed.

mod attempt;
mod table;
mod token;

pub use attempt::{AttemptState, Disposition};
pub use table::{Begin, KeptAnswer, OrderId, OrderLimits, Orders};
pub use token::{OrderToken, TokenError};
