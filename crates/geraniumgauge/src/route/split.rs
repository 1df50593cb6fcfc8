//! Distributes requests among services by weight.

use crate::route;

/// Distributes one route's requests by smooth weighted round robin. After any
/// number of requests, each service has received its share to within one
/// request. Random choice would miss a share by several per cent on a VM that
/// sees a few hundred requests.
#[derive(Debug, Clone, Default)]
pub struct Split {
    weights: Vec<f64>,
    credits: Vec<f64>,
}

impl Split {
    /// Creates a split among the services of `target`. A sharded target counts
    /// as a single service.
    pub fn of(target: &route::Target) -> Self {
        let weights: Vec<f64> = match target {
            route::Target::One(split) => split.iter().map(|part| part.weight.max(0.0)).collect(),
            route::Target::Shards(_) => vec![1.0],
        };
        let credits = vec![0.0; weights.len()];
        Self { weights, credits }
    }

    /// Returns the index of the service that gets the next request. Services
    /// without weight get none, unless no service has any.
    pub fn next_index(&mut self) -> usize {
        let total: f64 = self.weights.iter().sum();
        let mut best = 0;
        for index in 0..self.weights.len() {
            self.credits[index] += self.weights[index];
            if self.credits[index] > self.credits[best] {
                best = index;
            }
        }
        if let Some(credit) = self.credits.get_mut(best) {
            *credit -= total;
        }
        best
    }
}
