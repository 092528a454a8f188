//! Placement of requests on backend server endpoints.
//!
//! A request goes to the better of two random endpoints of its home data centre, then of its home
//! region, then of other regions, always within this instance's slot share of each endpoint.

mod decide;
mod engine;
mod health;
mod index;
mod link;
mod pick;
mod request;
mod share;
mod shift;
mod update;
mod wait;

pub use engine::Placement;
pub use link::TransferredBytes;
pub use request::{
    LoadReport, Outcome, PlaceReason, PlacedRequest, PlacementConstraints, PlacementRefusal,
    Refusal, Ticket,
};
pub use share::{ShareHolder, SlotShares};
pub use wait::{WaitQueue, WaitingRequest};
