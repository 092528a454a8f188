//! Exact division of whole numbers: the shares always add up to the total.

/// Divides a total in proportion to weights by the largest remainder method; equal remainders go to
/// the first holders. If all weights are zero it divides evenly. The shares add up to the total;
/// without holders the result is empty.
#[must_use]
pub fn apportion(total: u64, weights: &[u64]) -> Vec<u64> {
    if weights.is_empty() {
        return Vec::new();
    }
    let sum: u128 = weights.iter().map(|weight| u128::from(*weight)).sum();
    if sum == 0 {
        return apportion(total, &vec![1; weights.len()]);
    }
    let product = |weight: &u64| u128::from(total) * u128::from(*weight);
    let mut shares: Vec<u64> = weights
        .iter()
        .map(|weight| u64::try_from(product(weight) / sum).unwrap_or(total))
        .collect();
    let remainder = total - shares.iter().sum::<u64>();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|i| std::cmp::Reverse(product(&weights[*i]) % sum));
    let remainder = usize::try_from(remainder).unwrap_or(usize::MAX);
    for i in order.into_iter().take(remainder) {
        shares[i] += 1;
    }
    shares
}

/// Divides a total max-min fairly among holders by their demands. What exceeds the sum of the
/// demands is headroom: it is divided in proportion to demand plus half the mean demand plus one,
/// so that holders without demand get some of it too. The shares add up to the total.
#[must_use]
pub fn max_min_fair(total: u64, demands: &[u64]) -> Vec<u64> {
    let demanded = demands
        .iter()
        .fold(0, |sum: u64, demand| sum.saturating_add(*demand));
    if demanded > total {
        return progressive_fill(total, demands);
    }
    let count = u64::try_from(demands.len()).unwrap_or(u64::MAX).max(1);
    let mean = demanded / count;
    let weights: Vec<u64> = demands.iter().map(|demand| demand + mean / 2 + 1).collect();
    let headroom = apportion(total - demanded, &weights);
    demands
        .iter()
        .zip(headroom)
        .map(|(demand, extra)| demand + extra)
        .collect()
}

/// Grants the demands from the smallest up, each at most an equal share of what is left.
fn progressive_fill(total: u64, demands: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|i| demands[*i]);
    let mut shares = vec![0; demands.len()];
    let mut left = total;
    for (rank, i) in order.iter().enumerate() {
        let holders = u64::try_from(demands.len() - rank).unwrap_or(u64::MAX);
        shares[*i] = demands[*i].min(left.div_ceil(holders));
        left -= shares[*i];
    }
    shares
}
