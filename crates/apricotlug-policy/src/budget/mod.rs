//! Budgets that all instances share: allotments, token buckets, transfers, the seat plan.
