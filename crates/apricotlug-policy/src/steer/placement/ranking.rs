//! Ranking of the backend servers of each region or data centre for an object, cached between
//! requests.

use std::hash::{Hash, Hasher};

use apricotlug_model::HashMap;
use rustc_hash::FxHasher;

use super::affinity::rank_weight;
use super::entry::{BackendKey, Entry};

/// Number of backend servers of each region or data centre in a ranking: the home of the object,
/// and its substitutes in order.
const MAX_PER_SCOPE: usize = 3;

/// Maximum number of cached rankings of a service. The cache is cleared when it is full.
const MAX_RANKINGS: usize = 8_192;

/// Level at which an object has homes: one in each region, or one in each data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum HomeScope {
    /// Regions: few homes, so that few requests find their object cold.
    Region,
    /// Data centres: large answers do not leave their data centre.
    DataCentre,
}

impl HomeScope {
    /// Returns the name of the region or data centre of a backend server.
    pub(super) fn name_of(self, entry: &Entry) -> &str {
        match self {
            Self::Region => &entry.region,
            Self::DataCentre => &entry.backend.data_centre,
        }
    }
}

/// Inputs of a ranking, which are also its cache key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Ranking<'a> {
    /// Hash of the object.
    pub object: u64,
    /// Version, with `true` where only that version may serve the object, and `false` where every
    /// other version may. `None` allows all versions.
    pub version_filter: Option<(&'a str, bool)>,
    /// Level at which the object has homes.
    pub scope: HomeScope,
}

impl Ranking<'_> {
    fn allows(&self, entry: &Entry) -> bool {
        let version_filter = self.version_filter;
        version_filter
            .is_none_or(|(version, is_required)| (entry.backend.version == version) == is_required)
    }

    fn hash(&self) -> u64 {
        let mut hasher = FxHasher::default();
        Hash::hash(self, &mut hasher);
        hasher.finish()
    }
}

/// Cached rankings of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct RankingCache(HashMap<u64, Vec<BackendKey>>);

impl RankingCache {
    /// Returns the cached ranking: grouped by region or data centre, best choice of each group
    /// first.
    pub(super) fn get(&self, ranking: &Ranking<'_>) -> Option<&[BackendKey]> {
        self.0.get(&ranking.hash()).map(Vec::as_slice)
    }

    /// Caches a ranking.
    pub(super) fn insert(&mut self, ranking: &Ranking<'_>, order: Vec<BackendKey>) {
        if self.0.len() >= MAX_RANKINGS {
            self.0.clear();
        }
        self.0.insert(ranking.hash(), order);
    }
}

/// Ranks the backend servers of a service for an object, grouped by region or data centre.
pub(super) fn rank<'a>(
    all: impl Iterator<Item = (BackendKey, &'a Entry)>,
    ranking: &Ranking<'_>,
) -> Vec<BackendKey> {
    let mut tops: Vec<(&str, Vec<(u64, BackendKey)>)> = Vec::new();
    for (key, entry) in all.filter(|(_, entry)| ranking.allows(entry)) {
        let scope = ranking.scope.name_of(entry);
        let index = tops.iter().position(|(other, _)| *other == scope);
        let index = index.unwrap_or_else(|| {
            tops.push((scope, Vec::with_capacity(MAX_PER_SCOPE + 1)));
            tops.len() - 1
        });
        let top = &mut tops[index].1;
        let weight = rank_weight(entry.hash, ranking.object);
        let at = top.partition_point(|(other, _)| *other > weight);
        if at < MAX_PER_SCOPE {
            top.insert(at, (weight, key));
            top.truncate(MAX_PER_SCOPE);
        }
    }
    let all = tops.into_iter().flat_map(|(_, top)| top);
    all.map(|(_, key)| key).collect()
}
