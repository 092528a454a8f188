//! Renews the budgets of this instance: reports demand to the delegate of its data centre or, as
//! the delegate, updates the budget plans and sends the allotments to the instances.

use std::{sync::Arc, time::Duration};

use apricotlug_edge::Shared;
use apricotlug_peer::PeerHandle;
use apricotlug_platform::Client;
use apricotlug_policy::budget::{Allotments, Report};
use async_std::task;

use crate::{
    budget_plans::{self, PlanDriver, Reports},
    fleet::{delegate, is_delegate},
    messages::{self, Message},
};

/// Pause between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Task that renews the budgets of this instance.
#[derive(Clone, Debug)]
pub struct BudgetRenewer {
    /// State shared by all tasks of the instance.
    pub shared: Arc<Shared>,
    /// Handle of the peer node.
    pub peers: PeerHandle,
    /// Reports that this instance collects as a delegate.
    pub reports: Arc<Reports>,
    /// Client for calls to the platform.
    pub client: Client,
}

impl BudgetRenewer {
    /// Renews the budgets in an endless loop.
    pub async fn run(self) {
        let mut driver = self.driver();
        loop {
            if let Some(report) = budget_plans::report(&self.shared) {
                self.renew(&mut driver, report).await;
            }
            task::sleep(RENEW_INTERVAL).await;
        }
    }

    /// Returns the entire budget of this instance to its data centre, as a step of a graceful
    /// shutdown.
    pub async fn release(&self) {
        let now = self.shared.clock.now();
        self.shared
            .decisions
            .with_budgets(|budgets| budgets.leave(now));
        if let Some(report) = budget_plans::report(&self.shared) {
            self.renew(&mut self.driver(), report).await;
        }
    }

    fn driver(&self) -> PlanDriver {
        PlanDriver::new(
            Arc::clone(&self.shared),
            self.client.clone(),
            Arc::clone(&self.reports),
        )
    }

    async fn renew(&self, driver: &mut PlanDriver, report: Report) {
        if !is_delegate(&self.shared, &self.peers) {
            return self.send_report(report).await;
        }
        self.reports.put(report, self.shared.clock.now());
        match driver.update().await {
            Ok(granted) => self.distribute(granted).await,
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

    async fn distribute(&self, granted: Vec<Allotments>) {
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
