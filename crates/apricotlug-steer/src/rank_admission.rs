//! Admission of a request at its chosen backend server, by rank where different ranks compete.

use apricotlug_model::HashMap;
use apricotlug_policy::steer::{
    AdmissionDecision, Choice, Fleet, RankGate, RequestLimits, Room, decide_admission,
};
use rand::{RngExt, rngs::SmallRng};

use crate::{admission::AdmittedRequest, shared::Shared};

/// Admission decision with what it was made with, for logs.
pub(crate) struct RankAdmission {
    /// Decision.
    pub decision: AdmissionDecision,
    /// Part of the allowed wait that the request might use; 0 where its rank was cut.
    pub wait_share: f64,
    /// How short of room the region of the backend server is, 0 to 1.
    pub shortage: f64,
}

/// Decides whether a request may wait at its chosen backend server, by rank where different ranks
/// compete for its service. `is_first` states whether it has not been sent yet: further attempts do
/// not count as requests of their rank.
pub(crate) fn admit_by_rank(
    shared: &Shared,
    (gates, fleet, rng): (&mut HashMap<String, RankGate>, &Fleet, &mut SmallRng),
    request: &AdmittedRequest,
    limits: RequestLimits,
    choice: &Choice,
    is_first: bool,
) -> RankAdmission {
    let times = (choice.least_expected_ms(), choice.wait_ms);
    let Some(gate) = gates.get_mut(&request.service) else {
        return RankAdmission {
            decision: decide_admission(limits, times.0, times.1, choice.is_known),
            wait_share: 1.0,
            shortage: 0.0,
        };
    };
    let now = shared.clock.now();
    let entry = fleet.entry(choice.key);
    let region = &entry.region;
    let shortage = gate.shortage(region, now, || {
        fleet.utilisation(&request.service, region, &request.evacuated, now)
    });
    let room = Room {
        shortage,
        has_fresh_load: entry.has_reported_load(now),
    };
    let wait_share = gate.wait_share(request.ranked, room, rng.random(), now);
    let decision = gate.decide(wait_share, limits, times, choice.is_known);
    if is_first {
        let is_admitted = decision == AdmissionDecision::Admit;
        gate.record(request.ranked, is_admitted, shortage, now);
        let rank = request.ranked.rank.to_string();
        shared
            .metrics
            .on_ranked(&request.service, rank, is_admitted);
    }
    RankAdmission {
        decision,
        wait_share: wait_share.unwrap_or(0.0),
        shortage,
    }
}
