//! Measures the CPU time of placements, look-ups and slot splits at several bundle sizes.
//!
//! `cargo run --release -p apricotlug-policy --example decision_cost`

mod support;

use std::{
    hint::black_box,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use apricotlug_model::{
    Block, BlockTable, Bundle, DataCentreKey, InstanceId, MonoTime, RegionKey, Site, UnixTime,
};
use apricotlug_policy::{
    lookup::{Directory, InstanceEntry, InstanceLoad, InstanceState},
    placement::{Outcome, PlacedRequest, Placement, PlacementConstraints, ShareHolder, SlotShares},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use support::fleet::{Fleet, NOVAK};

const DECISIONS: u32 = 1_000_000;
/// First address of the blocks, 1.0.0.0.
const FIRST_ADDR: u32 = 0x0100_0000;
const SERVICE_TIME: Duration = Duration::from_millis(20);

fn main() {
    println!("| endpoints | occupied | ns per placement and settlement |");
    println!("|---|---|---|");
    for endpoints in [16, 250, 1_000] {
        for occupied in [0.0, 0.5, 0.95] {
            let nanos = measure_placement(endpoints, occupied);
            println!("| {endpoints} | {:.0}% | {nanos:.0} |", occupied * 100.0);
        }
    }
    println!(
        "\n| blocks | sites | instances | ns per look-up | with a region down | µs per update |"
    );
    println!("|---|---|---|---|---|---|");
    for (blocks, sites, instances) in [
        (50_000, 60, 360),
        (100_000, 120, 720),
        (210_000, 250, 1_500),
    ] {
        let (up, down, update) = measure_lookup(blocks, sites, instances);
        println!("| {blocks} | {sites} | {instances} | {up:.0} | {down:.0} | {update:.0} |");
    }
    println!("\n| endpoints | instances | ms per split of all slots |");
    println!("|---|---|---|");
    for (endpoints, instances) in [(28, 9), (500, 375), (1_000, 750), (2_000, 1_500)] {
        println!(
            "| {endpoints} | {instances} | {:.1} |",
            measure_split(endpoints, instances)
        );
    }
}

/// Returns a bundle with one region, one data centre and one service.
fn one_region(endpoints: usize) -> Bundle {
    let services = Box::leak(Box::new([("catalogue", endpoints, [6u16].as_slice())]));
    let fleet = Fleet {
        regions: 1,
        data_centres_per_region: 1,
        services,
        ..NOVAK
    };
    fleet.bundle()
}

/// Returns nanoseconds per placement and settlement, with the given fraction of slots occupied.
fn measure_placement(endpoints: usize, occupied: f64) -> f64 {
    let bundle = one_region(endpoints);
    let mut rng = StdRng::seed_from_u64(1);
    let mut now = MonoTime(1_000_000);
    let mut placement = Placement::new(&bundle, DataCentreKey(0), now);
    let constraints = PlacementConstraints {
        service: 0.into(),
        version: None,
        exclude: &[],
    };
    let mut held: Vec<PlacedRequest> = Vec::new();
    for _ in 0..(endpoints as f64 * 6.0 * occupied) as usize {
        held.extend(placement.place(&bundle, &constraints, now, &mut rng));
    }
    let outcome = Outcome::Answered {
        latency: SERVICE_TIME,
        server_error: false,
    };
    let start = Instant::now();
    for i in 0..DECISIONS as usize {
        now = now.after(Duration::from_micros(10));
        let choice = black_box(placement.place(&bundle, &constraints, now, &mut rng));
        let Ok(choice) = choice else { continue };
        let len = held.len().max(1);
        let ended = match held.get_mut(i % len) {
            Some(held) => std::mem::replace(held, choice),
            None => choice,
        };
        placement.settle(ended.ticket, outcome, now);
    }
    start.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
}

/// Returns nanoseconds per look-up, nanoseconds per look-up with one region down, and microseconds
/// per directory update.
fn measure_lookup(blocks: usize, sites: usize, instances: usize) -> (f64, f64, f64) {
    let fleet = Fleet {
        regions: 17,
        data_centres_per_region: 3,
        instances,
        ..NOVAK
    };
    let mut bundle = fleet.bundle();
    let data_centres = fleet.data_centres();
    for i in fleet.data_centres()..sites {
        bundle.sites.push(Site {
            id: format!("site-{i}"),
            data_centre: (i % data_centres).into(),
        });
    }
    let addr = |i: usize| Ipv4Addr::from(((i as u32) << 12) + FIRST_ADDR);
    let block = |i: usize| Block {
        network: IpAddr::V4(addr(i)),
        prefix: 20,
        home: (i % sites).into(),
    };
    let rows: Vec<_> = (0..blocks).map(block).collect();
    bundle.blocks = BlockTable::build(&rows).expect("the blocks are disjoint");
    let mut directory = Directory::new(&bundle, DataCentreKey(0));
    let entry = |(i, holder): (usize, ShareHolder)| InstanceEntry {
        id: holder.id,
        addr: SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 443)),
        data_centre: holder.data_centre,
        state: InstanceState::Ready,
        load: InstanceLoad {
            outstanding: 3,
            slots: 8,
        },
    };
    let mut entries: Vec<_> = fleet.holders().into_iter().enumerate().map(entry).collect();
    let now = UnixTime(1_000_000_000);
    directory.update(&bundle, &bundle, &entries, now);
    let mut rng = StdRng::seed_from_u64(1);
    let clients: Vec<_> = (0..1 << 16)
        .map(|_| IpAddr::V4(addr(rng.random_range(0..blocks))))
        .collect();
    let up = time_lookups(&mut directory, &bundle, &clients, now);
    for entry in &mut entries {
        if bundle.data_centres[entry.data_centre].region == RegionKey(0) {
            entry.state = InstanceState::Dead;
        }
    }
    let later = now.after(Duration::from_secs(20));
    let start = Instant::now();
    directory.update(&bundle, &bundle, &entries, later);
    let update = start.elapsed().as_secs_f64() * 1e6;
    let down = time_lookups(&mut directory, &bundle, &clients, later);
    (up, down, update)
}

/// Returns nanoseconds per look-up.
fn time_lookups(
    directory: &mut Directory,
    bundle: &Bundle,
    clients: &[IpAddr],
    mut now: UnixTime,
) -> f64 {
    let mut rng = StdRng::seed_from_u64(1);
    let start = Instant::now();
    for i in 0..DECISIONS as usize {
        now = now.after(Duration::from_micros(1));
        black_box(directory.lookup(bundle, clients[i % clients.len()], now, &mut rng));
    }
    start.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
}

/// Returns milliseconds per split of all slots among the instances.
fn measure_split(endpoints: usize, instances: usize) -> f64 {
    let services = Box::leak(Box::new([("catalogue", endpoints, [4u16].as_slice())]));
    let (regions, data_centres_per_region) = if instances < 100 { (3, 2) } else { (17, 3) };
    let fleet = Fleet {
        regions,
        data_centres_per_region,
        instances,
        services,
        ..NOVAK
    };
    let bundle = fleet.bundle();
    let holders = fleet.holders();
    let own_id: &InstanceId = &holders[0].id;
    let start = Instant::now();
    black_box(SlotShares::split(&bundle, &holders, own_id));
    start.elapsed().as_secs_f64() * 1_000.0
}
