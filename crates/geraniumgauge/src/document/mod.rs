//! Service documents: what a team's service needs, and what is in force.

mod catalog;
mod schema;

pub use catalog::Catalog;
pub use catalog::InForce;
pub use schema::Budgets;
pub use schema::Document;
pub use schema::Limits;
pub use schema::Objective;
pub use schema::Slo;
