//! Orders that another incarnation holds, and orders that are claimed in the platform.

use std::sync::Arc;

use apricotlug_http::Conn;
use apricotlug_model::{Bundle, InstanceId};

use crate::{
    answer::Refusal,
    exchange::{Exchange, RequestBody},
    order::{Claimed, NamedOrder, unknown},
    shared::Shared,
};

/// Passes a request on to the incarnation that its token is bound to.
pub async fn forward(
    _shared: &Shared,
    _bundle: &Arc<Bundle>,
    _ex: &Exchange,
    _body: &mut RequestBody,
    _caller: &mut Conn,
    _holder: &InstanceId,
) -> Claimed {
    Claimed::Refuse(unknown())
}

/// Claims the order of a caller's own key in the platform.
pub async fn claim(
    _shared: &Shared,
    _bundle: &Arc<Bundle>,
    _ex: &Exchange,
    _body: &mut RequestBody,
    _caller: &mut Conn,
    _order: &NamedOrder,
) -> Claimed {
    Claimed::Refuse(Refusal::not_run(
        503,
        "claim_unavailable",
        "send an order token, which needs no claim",
    ))
}
