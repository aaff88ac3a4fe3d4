// Package quarantine detects requests that crash the upstreams that run them, and stops them from
// being sent.
//
// A Table counts, for each request by its fingerprint, the incarnations of upstream VMs that
// terminated while they ran the request, since the request was last answered. A request that merely
// shared a VM with a crashing one is counted too. A request is therefore not quarantined before three
// incarnations have terminated under it: it is retried at other VMs, separate from other suspects, and
// its first complete response clears it. The request under which a third incarnation terminates, or a
// fourth one if other suspects ran there too, is put in quarantine: it is refused without being sent.
//
// Requests that are all different may crash upstreams for a trait that they share, such as a part of their
// prompts. A Table therefore keeps the same record for each trait of the requests at a terminated upstream
// that had not begun to be answered. A response that begins clears its traits. Requests with a suspected
// trait are sent to one upstream, as trials; terminations under trials put the trait in quarantine (Judge;
// docs/design/shared-traits.md).
//
// Tables of different nodes are merged by records. These hold facts only (which incarnation terminated
// when, when the request was last answered), so that the order and number of merges do not matter.
// Nodes send each other changes with their exchanges (Gossip). Requests under which two incarnations
// terminated are also written to the platform's store (Archive), for nodes that start and for nodes
// that are partitioned from each other.
package quarantine
