// Package quarantine recognizes requests that crash the upstreams that run them, and keeps
// them from any more.
//
// A Table counts, for each request by its fingerprint, the lives of upstream VMs that ended
// while they ran it, since it was last answered. One that shared a VM with such a request is
// counted too, so nothing is held against a request before three lives have ended under it: it
// goes on at other VMs, apart from other suspects, and its first whole answer clears it.
// The request that ends a third life, or a fourth in the company of other suspects, is kept in
// quarantine: it is refused without being sent.
//
// Tables of different nodes are merged by records, which hold facts only (which life ended when,
// when the request was last answered), so that the order and number of merges don't matter. News
// go from node to node with their exchanges (Gossip). What two lives ended under is kept in the
// platform's store as well (Archive), for nodes that start and for those that are cut off from
// each other.
package quarantine
