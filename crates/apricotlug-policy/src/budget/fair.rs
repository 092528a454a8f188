//! Division of whole numbers: sums are exact, and nothing is ever rounded up in total.

/// Divides a total by weights, with the remainder to the largest fractions and then to the first
/// holders. Without weights it divides evenly. The parts add up to the total.
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
    let mut parts: Vec<u64> = weights
        .iter()
        .map(|weight| u64::try_from(product(weight) / sum).unwrap_or(total))
        .collect();
    let rest = total - parts.iter().sum::<u64>();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|i| std::cmp::Reverse(product(&weights[*i]) % sum));
    let rest = usize::try_from(rest).unwrap_or(usize::MAX);
    for i in order.into_iter().take(rest) {
        parts[i] += 1;
    }
    parts
}

/// Divides a total max-min fairly among holders that want different amounts. What nobody wants is
/// divided by the same wants, with a little for each holder, as headroom. The parts add up to the
/// total.
#[must_use]
pub fn max_min_fair(total: u64, wants: &[u64]) -> Vec<u64> {
    let wanted = wants
        .iter()
        .fold(0, |sum: u64, want| sum.saturating_add(*want));
    if wanted > total {
        return fill(total, wants);
    }
    let count = u64::try_from(wants.len()).unwrap_or(u64::MAX).max(1);
    let mean = wanted / count;
    let weights: Vec<u64> = wants.iter().map(|want| want + mean / 2 + 1).collect();
    let headroom = apportion(total - wanted, &weights);
    wants
        .iter()
        .zip(headroom)
        .map(|(want, extra)| want + extra)
        .collect()
}

fn fill(total: u64, wants: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|i| wants[*i]);
    let mut parts = vec![0; wants.len()];
    let mut left = total;
    for (rank, i) in order.iter().enumerate() {
        let holders = u64::try_from(wants.len() - rank).unwrap_or(u64::MAX);
        parts[*i] = wants[*i].min(left.div_ceil(holders));
        left -= parts[*i];
    }
    parts
}
