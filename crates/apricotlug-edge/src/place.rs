//! Places a request on a backend server, and waits for a limited time where no slot is free.

use apricotlug_model::{Bundle, EndpointKey, Route, VersionKey};
use apricotlug_policy::placement::{
    Outcome, PlacedRequest, PlacementConstraints, PlacementRefusal, Refusal, TransferredBytes,
};

use crate::{
    exchange::Exchange,
    shared::Shared,
    slot_queue::{QueueKey, SlotQueues},
};

/// Slot of a backend server; frees the slot and reports the outcome when dropped.
#[derive(Debug)]
pub struct Permit<'a> {
    shared: &'a Shared,
    placed: PlacedRequest,
    queue: QueueKey,
    /// Outcome of the attempt; `Cancelled` unless set.
    pub outcome: Outcome,
}

impl Permit<'_> {
    /// Charges transferred bytes to the links between regions.
    pub fn charge_bytes(&self, bytes: TransferredBytes) {
        let now = self.shared.clock.now();
        self.shared.decisions.charge_bytes(&self.placed, bytes, now);
    }

    /// Returns the endpoint that the slot belongs to.
    #[must_use]
    pub fn endpoint(&self) -> EndpointKey {
        self.placed.endpoint
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared
            .decisions
            .settle(&self.placed, self.outcome, now);
        self.shared.slot_queues.wake(self.queue);
    }
}

/// Service and version that a request needs a slot of.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Bundle that `route` and `version` belong to.
    pub bundle: &'a Bundle,
    /// Route, whose service gets the request.
    pub route: &'a Route,
    /// Version to place on; `None` for any serving one.
    pub version: Option<VersionKey>,
}

/// Places a request on an endpoint that is not in `excluded`. Where no slot is free, the request
/// waits in a first-in, first-out queue for a limited time.
///
/// # Errors
/// Returns the reason where no slot became free in time or none can.
pub async fn place<'a>(
    shared: &'a Shared,
    request: PlacementRequest<'_>,
    exchange: &Exchange,
    excluded: &[EndpointKey],
) -> Result<Permit<'a>, PlacementRefusal> {
    let queue = QueueKey {
        service: request.route.service,
        is_shifted_in: is_shifted_in(shared, request.bundle, exchange),
    };
    if !shared.slot_queues.has_waiting(queue) {
        match try_place(shared, request, exchange, excluded, queue) {
            Err(refusal) if is_transient(refusal.reason) => {}
            placed => return placed.inspect_err(|refusal| log_refusal(exchange, refusal)),
        }
    }
    let expires_at = SlotQueues::expires_at(exchange.arrived_at, exchange.deadline);
    let mut entry = shared.slot_queues.enqueue(queue, expires_at);
    loop {
        let has_time = match &mut entry {
            Some(entry) => shared.slot_queues.wait(entry, &shared.clock).await,
            None => false,
        };
        match try_place(shared, request, exchange, excluded, queue) {
            Err(refusal) if has_time && is_transient(refusal.reason) => {}
            placed => return placed.inspect_err(|refusal| log_refusal(exchange, refusal)),
        }
    }
}

fn log_refusal(exchange: &Exchange, refusal: &PlacementRefusal) {
    tracing::info!(kind = "no_place", request = exchange.id, reason = ?refusal.reason);
}

fn is_transient(reason: Refusal) -> bool {
    match reason {
        Refusal::Full | Refusal::ShiftCap | Refusal::Link => true,
        Refusal::NoEndpoint | Refusal::Unhealthy | Refusal::OtherBundle => false,
    }
}

fn try_place<'a>(
    shared: &'a Shared,
    request: PlacementRequest<'_>,
    exchange: &Exchange,
    excluded: &[EndpointKey],
    queue: QueueKey,
) -> Result<Permit<'a>, PlacementRefusal> {
    let PlacementRequest {
        bundle,
        route,
        version,
    } = request;
    let constraints = PlacementConstraints {
        service: route.service,
        version,
        exclude: excluded,
    };
    let is_shifted_in = queue.is_shifted_in;
    let now = shared.clock.now();
    let placed = shared.decisions.place(
        bundle,
        &constraints,
        exchange.arrived_at,
        is_shifted_in,
        now,
    )?;
    let endpoint = &bundle.endpoints[placed.endpoint];
    tracing::info!(
        kind = "placement",
        request = exchange.id,
        endpoint = endpoint.id,
        version = bundle.versions[endpoint.version].id,
        candidates = placed.candidates,
        reason = ?placed.reason,
    );
    Ok(Permit {
        shared,
        placed,
        queue,
        outcome: Outcome::Cancelled,
    })
}

/// Returns whether the caller's home is another region. Callers outside all blocks count as
/// local.
fn is_shifted_in(shared: &Shared, bundle: &Bundle, exchange: &Exchange) -> bool {
    let Some(home) = bundle.blocks.home(exchange.caller) else {
        return false;
    };
    let home = bundle.data_centres[bundle.sites[home].data_centre].region;
    let own = bundle.data_centre(&shared.data_centre);
    own.is_some_and(|own| bundle.data_centres[own].region != home)
}
