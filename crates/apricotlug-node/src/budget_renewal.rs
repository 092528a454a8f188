//! Keeps the budgets of this instance renewed: reports demand to the delegate of its data centre,
//! or takes the steps as the delegate and passes the allotments on.

use std::{sync::Arc, time::Duration};

use apricotlug_edge::Shared;
use apricotlug_peer::PeerHandle;
use apricotlug_platform::Client;
use apricotlug_policy::budget::{Allotments, Report};
use async_std::task;

use crate::{
    budget_plans::{self, Reports, Seats},
    fleet::{delegate, is_delegate},
    messages::{self, Message},
};

/// Pause between two steps.
const PERIOD: Duration = Duration::from_millis(500);

/// Keeps the budgets of this instance renewed.
#[derive(Clone, Debug)]
pub struct SeatKeeper {
    /// State of the instance.
    pub shared: Arc<Shared>,
    /// Peer node.
    pub peers: PeerHandle,
    /// Reports that this instance collects as a delegate.
    pub reports: Arc<Reports>,
    /// Client of the platform.
    pub client: Client,
}

impl SeatKeeper {
    /// Keeps the budgets renewed for ever.
    pub async fn keep(self) {
        let mut driver = self.driver();
        loop {
            if let Some(report) = budget_plans::report(&self.shared) {
                self.deal(&mut driver, report).await;
            }
            task::sleep(PERIOD).await;
        }
    }

    /// Hands everything back, as a step of a graceful shutdown.
    pub async fn hand_back(&self) {
        let now = self.shared.clock.now();
        self.shared.gate.with_budgets(|budgets| budgets.leave(now));
        if let Some(report) = budget_plans::report(&self.shared) {
            self.deal(&mut self.driver(), report).await;
        }
    }

    fn driver(&self) -> Seats {
        Seats::new(
            Arc::clone(&self.shared),
            self.client.clone(),
            Arc::clone(&self.reports),
        )
    }

    async fn deal(&self, driver: &mut Seats, report: Report) {
        if !is_delegate(&self.shared, &self.peers) {
            return self.send_report(report).await;
        }
        self.reports.put(report, self.shared.clock.now());
        match driver.step().await {
            Ok(granted) => self.hand_out(granted).await,
            Err(e) => tracing::warn!(error = %e, "budgets not renewed"),
        }
    }

    async fn send_report(&self, report: Report) {
        let members = self.peers.members();
        let Some(delegate) = delegate(&self.shared, &members) else {
            return;
        };
        messages::send(
            &self.shared,
            &self.peers,
            &delegate.record.id,
            &Message::Report(report),
        )
        .await;
    }

    async fn hand_out(&self, granted: Vec<Allotments>) {
        for allotments in granted {
            if allotments.holder == self.shared.identity {
                budget_plans::install(&self.shared, &allotments);
                continue;
            }
            let confirmed = self.reports.confirmed(&allotments.holder);
            if confirmed != Some(allotments.generation) {
                let holder = allotments.holder.clone();
                messages::send(
                    &self.shared,
                    &self.peers,
                    &holder,
                    &Message::Allotments(allotments),
                )
                .await;
            }
        }
    }
}
