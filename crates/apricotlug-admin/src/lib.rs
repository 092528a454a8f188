//! Administration API without I/O: operations with their paths and roles, authorisation, request
//! and response types, and text tables for a terminal.

mod auth;
mod message;
mod openapi;
mod operation;
mod problem;
mod report;
mod status;
mod table;

pub use auth::{Denied, OperatorId, authorise};
pub use message::{
    BundleHead, CheckReply, DiffReply, Drain, DrainScope, Drains, Explanation, History, KeyStatus,
    Keys, MoveCommand, SignOffReply, WithdrawReply,
};
pub use openapi::OPENAPI;
pub use operation::{Method, Operation, Params, RouteError, resolve};
pub use problem::{Problem, ProblemCode};
pub use report::{Report, moves_table};
pub use status::{
    AccountStatus, FleetStatus, InstanceState, InstanceStatus, MoveStage, MoveStatus, Moves,
    PlatformStatus, RegionStatus, Unconfirmed,
};
pub use table::{Align, Table};
