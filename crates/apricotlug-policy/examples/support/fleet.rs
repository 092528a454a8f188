//! Bundles and instances at the sizes of the users' systems.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use apricotlug_model::{
    Block, BlockTable, Bundle, BundleVersion, DataCentre, DataCentreKey, Endpoint, InstanceId,
    Link, Region, RegionKey, Service, ServiceVersion, Site,
};
use apricotlug_policy::placement::ShareHolder;

/// Size of one user's system.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub name: &'static str,
    pub regions: usize,
    pub data_centres_per_region: usize,
    pub instances: usize,
    /// Service id, number of endpoints, and their slot counts, which repeat cyclically.
    pub services: &'static [(&'static str, usize, &'static [u16])],
    /// One-way delay between data centres of a region, in microseconds.
    pub intra_region_delay_us: u32,
    /// One-way delay between regions, in microseconds.
    pub inter_region_delay_us: u32,
    pub mbit_per_s: u32,
    pub cap_percent: u8,
    pub shift_cap_percent: u8,
}

pub const CAISSES: Fleet = Fleet {
    name: "Caisses Armor",
    regions: 3,
    data_centres_per_region: 2,
    instances: 9,
    services: &[("stock", 16, &[3, 4, 5]), ("booking", 12, &[3, 4, 5])],
    intra_region_delay_us: 1_500,
    inter_region_delay_us: 55_000,
    mbit_per_s: 280,
    cap_percent: 100,
    shift_cap_percent: 40,
};

pub const NOVAK: Fleet = Fleet {
    name: "Novák",
    regions: 3,
    data_centres_per_region: 2,
    instances: 9,
    services: &[("catalogue", 16, &[6]), ("orders", 12, &[3])],
    intra_region_delay_us: 500,
    inter_region_delay_us: 20_000,
    mbit_per_s: 4_000,
    cap_percent: 100,
    shift_cap_percent: 40,
};

impl Fleet {
    pub fn data_centres(&self) -> usize {
        self.regions * self.data_centres_per_region
    }

    /// Builds the bundle: one site per data centre, endpoints distributed round robin over sites.
    pub fn bundle(&self) -> Bundle {
        let mut bundle = Bundle {
            version: BundleVersion(1),
            ..Bundle::default()
        };
        for i in 0..self.regions {
            bundle.regions.push(Region {
                id: format!("region-{i}"),
                cap_percent: self.cap_percent,
                shift_cap_percent: self.shift_cap_percent,
            });
        }
        for i in 0..self.data_centres() {
            let region = (i / self.data_centres_per_region).into();
            let id = format!("dc-{i}");
            let data_centre = bundle.data_centres.push(DataCentre { id, region });
            let id = format!("site-{i}");
            bundle.sites.push(Site { id, data_centre });
        }
        bundle.blocks = self.blocks();
        bundle.links = self.links(&bundle);
        for (id, endpoints, slots) in self.services {
            self.add_service(&mut bundle, id, *endpoints, slots);
        }
        bundle
    }

    /// Returns the instances, distributed evenly over the data centres.
    pub fn holders(&self) -> Vec<ShareHolder> {
        let holder = |i: usize| ShareHolder {
            id: InstanceId {
                name: format!("entry-{i}"),
                incarnation: i as u64 + 1,
            },
            data_centre: DataCentreKey::from(i * self.data_centres() / self.instances),
        };
        (0..self.instances).map(holder).collect()
    }

    fn blocks(&self) -> BlockTable {
        let block = |i: usize| Block {
            network: Self::client(i, 0),
            prefix: 16,
            home: i.into(),
        };
        let blocks: Vec<_> = (0..self.data_centres()).map(block).collect();
        BlockTable::build(&blocks).expect("the blocks are disjoint")
    }

    /// Returns the address of a client in a site's block.
    pub fn client(site: usize, number: u8) -> IpAddr {
        IpAddr::from([10, site as u8, 0, number])
    }

    fn links(&self, bundle: &Bundle) -> BTreeMap<(RegionKey, RegionKey), Link> {
        let link = Link {
            delay_us: self.inter_region_delay_us,
            mbit_per_s: self.mbit_per_s,
        };
        let regions = || bundle.regions.keys();
        let pairs = regions().flat_map(|from| regions().map(move |to| (from, to)));
        pairs
            .filter(|(from, to)| from != to)
            .map(|pair| (pair, link))
            .collect()
    }

    fn add_service(&self, bundle: &mut Bundle, id: &str, endpoints: usize, slots: &[u16]) {
        let service = bundle.services.push(Service {
            id: id.to_owned(),
            versions: vec![bundle.versions.len().into()],
        });
        let version = bundle.versions.push(ServiceVersion {
            id: "v1".to_owned(),
            service,
            incoming: None,
        });
        for i in 0..endpoints {
            bundle.endpoints.push(Endpoint {
                id: format!("{id}-{i}"),
                addr: SocketAddr::from(([127, 0, 0, 1], 10_000 + bundle.endpoints.len() as u16)),
                site: (i % self.data_centres()).into(),
                version,
                slots: slots[i / self.data_centres() % slots.len()],
                is_draining: false,
            });
        }
    }
}
