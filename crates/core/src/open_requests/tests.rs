use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The index agrees with a search through all requests after any sequence of insertions, moves and removals.
#[test]
fn the_index_agrees_with_a_full_search() {
    let mut rng = ChaCha8Rng::seed_from_u64(45);
    let mut open = OpenRequests::default();
    let mut model: BTreeMap<ConnId, Mono> = BTreeMap::new();
    for step in 0..20_000 {
        let conn = ConnId(rng.random_range(0..500));
        if rng.random_bool(0.6) {
            let deadline = Mono(step + rng.random_range(0..4_000));
            open.insert(conn, deadline);
            model.insert(conn, deadline);
        } else {
            assert_eq!(open.remove(conn), model.remove(&conn).is_some());
        }
        let mut expired = open.expired(Mono(step));
        expired.sort();
        let expected = model.iter().filter(|(_, deadline)| step >= deadline.0);
        assert_eq!(expired, expected.map(|(conn, _)| *conn).collect::<Vec<_>>());
        assert_eq!(open.len(), model.len());
    }
}
