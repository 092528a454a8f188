//! Measures over decision lines.

use std::collections::BTreeMap;

use apricotlug_model::HashMap;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::decisions::{Counts, Line};

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Significant digits of latencies.
const DIGITS: u8 = 3;

/// Percentiles of the latency curves.
pub const PERCENTILES: [f64; 9] = [1.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9];

/// Latencies of answered requests, in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Latency {
    /// Answered requests.
    pub answered: u64,
    /// Median.
    pub p50_us: u64,
    /// 90 in 100 were not slower.
    pub p90_us: u64,
    /// 99 in 100 were not slower.
    pub p99_us: u64,
    /// 999 in 1000 were not slower.
    pub p999_us: u64,
    /// Slowest.
    pub max_us: u64,
    /// Latencies at [`PERCENTILES`].
    pub curve_us: Vec<u64>,
}

impl From<&Histogram<u64>> for Latency {
    fn from(counts: &Histogram<u64>) -> Self {
        let at = |percentile| counts.value_at_percentile(percentile);
        Self {
            answered: counts.len(),
            p50_us: at(50.0),
            p90_us: at(90.0),
            p99_us: at(99.0),
            p999_us: at(99.9),
            max_us: counts.max(),
            curve_us: PERCENTILES.map(at).to_vec(),
        }
    }
}

/// How a client account fared, over its admitted requests.
#[derive(Clone, Debug, Serialize)]
pub struct Account {
    /// Id.
    pub id: String,
    /// Admitted requests.
    pub admitted: u64,
    /// Those that were answered whole, from a backend server or from memory.
    pub served: u64,
    /// Those that were refused for want of a place.
    pub refused: u64,
    /// Latencies of the answered.
    pub latency: Latency,
}

impl Account {
    /// Returns the share served, between 0 and 1.
    #[must_use]
    pub fn share(&self) -> f64 {
        ratio(self.served, self.admitted)
    }
}

/// How a move stands after its last line.
#[derive(Clone, Debug, Serialize)]
pub struct Move {
    /// Service.
    pub service: String,
    /// Version that comes in.
    pub version: String,
    /// State, as the line names it.
    pub state: String,
    #[serde(skip)]
    sequence: u64,
}

/// Measures of the product.
#[derive(Clone, Debug, Serialize)]
pub struct Measures {
    /// Requests, admitted or refused.
    pub requests: u64,
    /// Lines that are no decisions.
    pub unread_lines: u64,
    /// Latencies by route.
    pub routes: BTreeMap<String, Latency>,
    /// Client accounts, the worst served first.
    pub accounts: Vec<Account>,
    /// Refusals by code.
    pub refusals: BTreeMap<String, u64>,
    /// Requests refused with `over_rate`; those among them that were inside the rate can't be
    /// told apart by the lines, so this is their upper bound.
    pub over_rate: u64,
    /// Admitted requests refused for want of a place; all of them were inside the rate.
    pub refused_in_rate: u64,
    /// Attempts at backend servers for each admitted request.
    pub attempts_per_request: f64,
    /// Most attempts for one request.
    pub most_attempts: u64,
    /// Moves.
    pub moves: Vec<Move>,
    /// Moves that ended with all traffic at the new version.
    pub moves_finished: usize,
    /// Moves that ended with all traffic at the old version.
    pub moves_taken_back: usize,
}

#[derive(Debug)]
struct AccountCounts {
    admitted: u64,
    served: u64,
    refused: u64,
    latency: Histogram<u64>,
}

/// Collects measures line by line.
#[derive(Debug, Default)]
pub struct Collector {
    routes: BTreeMap<String, Histogram<u64>>,
    accounts: BTreeMap<String, AccountCounts>,
    refusals: BTreeMap<String, u64>,
    unplaced: HashMap<String, String>,
    moves: BTreeMap<(String, String), Move>,
    refused: u64,
    admitted: u64,
    refused_in_rate: u64,
    attempts: u64,
    most_attempts: u64,
}

impl Collector {
    /// Takes in a line.
    pub fn take(&mut self, line: &Line) {
        match line.kind() {
            "refusal" => {
                self.refused += 1;
                self.count_refusal(line.text("code").to_owned());
            }
            "no_place" => {
                let request = line.text("request").to_owned();
                self.unplaced
                    .insert(request, line.text("reason").to_owned());
            }
            "request" => self.take_request(line),
            "move" => self.take_move(line),
            _ => {}
        }
    }

    fn count_refusal(&mut self, code: String) {
        *self.refusals.entry(code).or_default() += 1;
    }

    fn take_request(&mut self, line: &Line) {
        let unplaced = self.unplaced.remove(line.text("request"));
        let attempts = line.number("attempts");
        self.admitted += 1;
        self.attempts += attempts;
        self.most_attempts = self.most_attempts.max(attempts);
        let is_answered = line.text("result") == "answered";
        let is_served = is_answered || line.text("result") == "repeated";
        let is_refused = line.text("result") == "not-run";
        if is_refused {
            let status = line.number("status");
            let code = match unplaced {
                Some(reason) => format!("no_place {reason}"),
                None => format!("status {status}"),
            };
            self.count_refusal(code);
        }
        let is_for_want = is_refused && line.number("status") >= 500;
        self.refused_in_rate += u64::from(is_for_want);
        let latency = line.number("latency_us").clamp(1, MAX_LATENCY_US);
        let route = line.text("route").to_owned();
        let account = line.text("account");
        if is_answered {
            let counts = self.routes.entry(route).or_insert_with(histogram);
            counts.saturating_record(latency);
        }
        if account == "-" {
            return;
        }
        let account = self.accounts.entry(account.to_owned());
        let account = account.or_insert_with(|| AccountCounts {
            admitted: 0,
            served: 0,
            refused: 0,
            latency: histogram(),
        });
        account.admitted += 1;
        account.served += u64::from(is_served);
        account.refused += u64::from(is_for_want);
        if is_answered {
            account.latency.saturating_record(latency);
        }
    }

    /// Each instance logs each state of a move: the newest counts.
    fn take_move(&mut self, line: &Line) {
        let (service, version) = (line.text("service"), line.text("version"));
        let key = (service.to_owned(), version.to_owned());
        let sequence = line.number("sequence");
        let known = self.moves.get(&key).map(|it| it.sequence);
        if known.is_some_and(|known| known >= sequence) {
            return;
        }
        let it = Move {
            service: service.to_owned(),
            version: version.to_owned(),
            state: line.text("state").to_owned(),
            sequence,
        };
        self.moves.insert(key, it);
    }

    /// Returns the measures.
    #[must_use]
    pub fn finish(self, counts: Counts) -> Measures {
        let accounts = self.accounts.into_iter();
        let mut accounts: Vec<Account> = accounts.map(account).collect();
        accounts.sort_by(|a, b| {
            let by_share = a.share().total_cmp(&b.share());
            by_share.then(b.latency.p99_us.cmp(&a.latency.p99_us))
        });
        let moves: Vec<Move> = self.moves.into_values().collect();
        let ended = |word: &str| moves.iter().filter(|it| it.state.starts_with(word)).count();
        let (moves_finished, moves_taken_back) = (ended("Finished"), ended("TakenBack"));
        Measures {
            requests: self.admitted + self.refused,
            unread_lines: counts.others,
            routes: self
                .routes
                .iter()
                .map(|(id, counts)| (id.clone(), Latency::from(counts)))
                .collect(),
            accounts,
            over_rate: self.refusals.get("over_rate").copied().unwrap_or(0),
            refusals: self.refusals,
            refused_in_rate: self.refused_in_rate,
            attempts_per_request: ratio(self.attempts, self.admitted),
            most_attempts: self.most_attempts,
            moves,
            moves_finished,
            moves_taken_back,
        }
    }
}

fn account((id, counts): (String, AccountCounts)) -> Account {
    Account {
        id,
        admitted: counts.admitted,
        served: counts.served,
        refused: counts.refused,
        latency: Latency::from(&counts.latency),
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, DIGITS).expect("the bounds are valid")
}

/// Returns a part of a whole; 0 of nothing.
pub fn ratio(part: u64, whole: u64) -> f64 {
    match whole {
        0 => 0.0,
        whole => part as f64 / whole as f64,
    }
}
