//! Measures look-ups against the number of blocks, and directory updates and slot shares against
//! the size of the fleet.

use std::{collections::BTreeMap, error::Error, net::SocketAddr, sync::Arc};

use apricotlug_edge::Shared;
use apricotlug_model::{Bundle, InstanceId, MonoTime, UnixTime};
use apricotlug_policy::{
    lookup::{InstanceEntry, InstanceLoad, InstanceState},
    placement::{Placement, ShareHolder},
};
use async_std::task::block_on;
use tide::http::{Method, Request, Response, Url};

use crate::{
    lookups::{InstanceAddress, LookupApi, LookupDirectory, app},
    mean_us,
    text::{self, DATA_CENTRES, DESIGN_SIZES, Sizes},
};

const INSTANCES: usize = 1_500;

pub fn measure() -> Result<(), Box<dyn Error>> {
    let bundle = Arc::new(text::bundle(DESIGN_SIZES)?);
    println!("instances | directory update us | slot shares us");
    for instances in [100, 500, INSTANCES] {
        let lookups = LookupDirectory::new(1);
        let update = mean_us(|| update(&lookups, &bundle, instances));
        println!(
            "{instances:9} | {update:19.0} | {:14.0}",
            slot_shares(&bundle, instances)
        );
    }
    println!("\nblocks | look-up decision us | answer by tide us");
    for blocks in [50_000, 100_000, 210_000] {
        let bundle = Arc::new(text::bundle(Sizes {
            blocks,
            ..DESIGN_SIZES
        })?);
        let (decision, answer) = look_ups(&bundle)?;
        println!("{blocks:6} | {decision:19.2} | {answer:17.2}");
    }
    Ok(())
}

fn id(i: usize) -> InstanceId {
    InstanceId {
        name: format!("entry-{i:04}"),
        incarnation: i as u64,
    }
}

fn update(lookups: &LookupDirectory, bundle: &Arc<Bundle>, instances: usize) {
    let mut names = BTreeMap::new();
    let mut entries = Vec::new();
    for i in 0..instances {
        let name = format!("dc-{}", i % DATA_CENTRES);
        let Some(data_centre) = bundle.data_centres.find(|dc| dc.id == name) else {
            continue;
        };
        let port = 1_024 + u16::try_from(i).unwrap_or(0);
        let addr = SocketAddr::from(([10, 0, 0, 1], port));
        let named = InstanceAddress {
            name: id(i).name,
            lookup: addr,
        };
        names.insert(addr, named);
        entries.push(InstanceEntry {
            id: id(i),
            addr,
            data_centre,
            state: InstanceState::Ready,
            load: InstanceLoad {
                outstanding: 300,
                slots: 1_000,
            },
        });
    }
    if let Some(own) = bundle.data_centres.keys().next() {
        lookups.update(bundle, own, &entries, names, UnixTime::now());
    }
}

fn slot_shares(bundle: &Bundle, instances: usize) -> f64 {
    let now = MonoTime::default();
    let keys: Vec<_> = bundle.data_centres.keys().collect();
    let holders: Vec<ShareHolder> = (0..instances)
        .map(|i| ShareHolder {
            id: id(i),
            data_centre: keys[i % keys.len()],
        })
        .collect();
    let mut placement = Placement::new(bundle, keys[0], now);
    mean_us(|| placement.set_slot_share(bundle, &holders, &id(0), now, now))
}

fn look_ups(bundle: &Arc<Bundle>) -> Result<(f64, f64), Box<dyn Error>> {
    let lookups = Arc::new(LookupDirectory::new(1));
    update(&lookups, bundle, INSTANCES);
    let mut client = 0_u32;
    let now = UnixTime::now();
    let mut next = || {
        client = client.wrapping_add(7_919) % 50_000_000;
        std::net::Ipv4Addr::from((16 << 24) + client)
    };
    let decision = mean_us(|| {
        std::hint::black_box(lookups.lookup(next().into(), now));
    });
    let shared = Arc::new(Shared::new(id(0), "dc-0".to_owned(), 1));
    let app = app(LookupApi { shared, lookups });
    let url = Url::parse("http://127.0.0.1/v1/lookup")?;
    let answer = mean_us(|| {
        let mut url = url.clone();
        url.set_query(Some(&format!("client={}", next())));
        let answered = block_on(async {
            let mut res: Response = app.respond(Request::new(Method::Get, url)).await?;
            res.body_bytes().await
        });
        assert!(answered.is_ok_and(|body| !body.is_empty()));
    });
    Ok((decision, answer))
}
