//! At-most-once execution: attempt states and order tokens.
//!
//! A token is bound to one incarnation of one instance, and only that incarnation may run the
//! token's order. Its in-memory table of orders decides how a repeated request is handled. Once
//! the incarnation has ended, no instance may run the order. Therefore instances need no consensus
//! about orders.

mod attempt;
mod table;
mod token;

pub use attempt::{AttemptState, RetryPermission};
pub use table::{BeginOutcome, OrderId, OrderLimits, OrderTable, StoredAnswer};
pub use token::{OrderToken, TokenError};
