//! Messages between instances with bytes that were changed on the way or made up: decoding ends with
//! a message or an error, and in bounded memory.

use apricotlug_steer::{
    AccountUsage, BackendLoad, RelayRequest, RelayResponse, StatusDatagram, decode_datagram,
    decode_relay_request, decode_relay_response, encode_datagram, encode_relay_request,
    encode_relay_response,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const ROUNDS: usize = 6_000;

fn usage(demand: f32) -> Vec<AccountUsage> {
    vec![AccountUsage {
        account: 7,
        admitted: 1_000,
        demand,
    }]
}

fn decode_all(bytes: &[u8]) {
    for usage in [
        decode_datagram(bytes).map(|message| message.usage),
        decode_relay_request(bytes).map(|message| message.usage),
        decode_relay_response(bytes).map(|message| message.usage),
    ]
    .into_iter()
    .flatten()
    {
        assert!(
            usage
                .iter()
                .all(|entry| entry.demand.is_finite() && entry.demand >= 0.0)
        );
    }
}

#[test]
fn changed_and_made_up_bytes_are_decoded_or_rejected() {
    let mut rng = SmallRng::seed_from_u64(11);
    let loads = vec![
        BackendLoad {
            backend: 5,
            requests: 3,
            work_ms: 4.0,
        };
        40
    ];
    let datagram = StatusDatagram {
        name: "west-1".to_owned(),
        usage: usage(2.0),
        loads: loads.clone(),
        ..StatusDatagram::default()
    };
    let request = RelayRequest {
        usage: usage(2.0),
        loads: loads.clone(),
        ..RelayRequest::default()
    };
    let response = RelayResponse {
        usage: usage(2.0),
        loads,
        ..RelayResponse::default()
    };
    let messages = [
        encode_datagram(&datagram),
        encode_relay_request(&request),
        encode_relay_response(&response),
    ];
    for round in 0..ROUNDS {
        let mut bytes = messages[round % messages.len()].clone();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = rng.random();
        }
        bytes.truncate(rng.random_range(0..=bytes.len()));
        decode_all(&bytes);
        let made_up: Vec<u8> = (0..rng.random_range(0..200))
            .map(|_| rng.random())
            .collect();
        decode_all(&made_up);
    }
}

#[test]
fn a_demand_that_is_no_number_counts_as_none() {
    for demand in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, -1.0] {
        let datagram = StatusDatagram {
            usage: usage(demand),
            ..StatusDatagram::default()
        };
        let decoded = decode_datagram(&encode_datagram(&datagram)).unwrap();
        assert_eq!(decoded.usage[0].demand, 0.0, "{demand}");
    }
}
