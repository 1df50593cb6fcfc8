//! Deals requests out among services by weight.

use crate::route;

/// Deals one route's requests out by smooth weighted round robin: after any
/// number of requests, each service has had its share to within one request.
/// Drawing at random would miss a share by several in a hundred on a VM that
/// sees a few hundred requests.
#[derive(Debug, Clone, Default)]
pub struct Split {
    weights: Vec<f64>,
    credits: Vec<f64>,
}

impl Split {
    /// Deals out among the services of `target`; one place where it has shards.
    pub fn of(target: &route::Target) -> Self {
        let weights: Vec<f64> = match target {
            route::Target::One(split) => split.iter().map(|part| part.weight.max(0.0)).collect(),
            route::Target::Shards(_) => vec![1.0],
        };
        let credits = vec![0.0; weights.len()];
        Self { weights, credits }
    }

    /// The place of the service that gets the next request. Places without
    /// weight get none, unless no place has any.
    pub fn deal(&mut self) -> usize {
        let total: f64 = self.weights.iter().sum();
        let mut best = 0;
        for place in 0..self.weights.len() {
            self.credits[place] += self.weights[place];
            if self.credits[place] > self.credits[best] {
                best = place;
            }
        }
        if let Some(credit) = self.credits.get_mut(best) {
            *credit -= total;
        }
        best
    }
}
