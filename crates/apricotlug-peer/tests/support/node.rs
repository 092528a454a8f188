//! Peer nodes on loopback.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use apricotlug_model::{InstanceId, UnixTime};
use apricotlug_peer::{
    Addresses, PeerConfig, PeerHandle, PeerHandler, PeerNode, State, Transfer, TransferId,
};
use futures::{FutureExt, channel::oneshot, future::BoxFuture};

/// Time limit of a wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Handler that records transfers, echoes orders and can delay its answers to them.
#[derive(Default)]
pub struct Handler {
    pub transfers: Mutex<Vec<TransferId>>,
    pub orders: AtomicUsize,
    pub holds: Mutex<Vec<oneshot::Receiver<()>>>,
}

impl PeerHandler for Handler {
    fn apply_transfer(&self, transfer: Transfer) {
        self.transfers.lock().unwrap().push(transfer.id);
    }

    fn answer_order(&self, order: Vec<u8>) -> BoxFuture<'static, Vec<u8>> {
        self.orders.fetch_add(1, Ordering::SeqCst);
        let hold = self.holds.lock().unwrap().pop();
        async move {
            if let Some(hold) = hold {
                let _ = hold.await;
            }
            [b"answer to ", order.as_slice()].concat()
        }
        .boxed()
    }
}

/// Starts a node on a free port; `public` is its advertised peer address if that differs.
pub fn start(
    name: &str,
    incarnation: u64,
    data_centre: &str,
    seeds: &[SocketAddr],
    public: Option<SocketAddr>,
) -> (PeerHandle, Arc<Handler>) {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let cfg = PeerConfig {
        id: InstanceId {
            name: name.to_owned(),
            incarnation,
        },
        data_centre: data_centre.to_owned(),
        addresses: Addresses {
            caller: local,
            lookup: local,
            peer: public.unwrap_or(local),
        },
        listen: local,
        seeds: seeds.to_vec(),
        started: UnixTime::now(),
    };
    let handler = Arc::new(Handler::default());
    let handle = PeerNode::start(cfg, Arc::clone(&handler) as Arc<dyn PeerHandler>).unwrap();
    (handle, handler)
}

/// Starts nine nodes in six data centres; the first is the seed of all others.
pub fn start_nine() -> Vec<(PeerHandle, Arc<Handler>)> {
    let mut nodes: Vec<(PeerHandle, Arc<Handler>)> = Vec::new();
    for i in 0..9 {
        let seeds: Vec<SocketAddr> = nodes.first().iter().map(|(node, _)| node.addr()).collect();
        let data_centre = format!("data-centre-{}", i % 6);
        nodes.push(start(
            &format!("entry-{i}"),
            100 + i,
            &data_centre,
            &seeds,
            None,
        ));
    }
    nodes
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let wait = async {
        while !is_met() {
            async_std::task::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = async_std::future::timeout(WAIT_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "timed out waiting until: {what}");
}

/// Returns the state of an instance as seen by an observer; `None` if it is unknown there.
pub fn state(observer: &PeerHandle, name: &str) -> Option<State> {
    let members = observer.members();
    let member = members.iter().find(|member| member.record.id.name == name);
    member.map(|member| member.state)
}

/// Waits until every node sees every node as ready.
pub async fn wait_until_all_ready(nodes: &[PeerHandle]) {
    wait_until("all nodes see each other", || {
        nodes.iter().all(|a| {
            nodes
                .iter()
                .all(|b| state(a, &b.id().name) == Some(State::Ready))
        })
    })
    .await;
}
