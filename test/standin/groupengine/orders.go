package groupengine

import (
	"encoding/json"
	"net/http"
	"time"
)

// order is the body of an order.
type order struct {
	Op       string   `json:"op"`
	Expected *uint64  `json:"expected"`
	Group    string   `json:"group"`
	Epoch    uint64   `json:"epoch"`
	Model    string   `json:"model"`
	Members  []string `json:"members"`
	// CloseMode is "queue" or "preempt"; empty counts as the former.
	CloseMode string `json:"close-mode"`
}

func (v *VM) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, observation := v.handleOrder(o)
	if status == http.StatusAccepted && (o.Op == "join" || o.Op == "open") {
		v.observe(observation)
	}
	w.WriteHeader(status)
}

// handleOrder applies an order if its expected count matches, and returns the response's status and the observation
// of a join or open order.
func (v *VM) handleOrder(o order) (int, Observation) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if o.Expected != nil && *o.Expected != v.ordersAccepted {
		return http.StatusConflict, Observation{}
	}
	observation := Observation{Kind: Opened, OldMembers: v.members}
	if o.Op == "join" {
		observation.Kind = Joined
	}
	if v.group != nil {
		observation.OldGroup = *v.group
	}
	running := v.work.count()
	status := v.applyOrder(o)
	if ended := running - v.work.count(); ended > 0 {
		v.observe(Observation{Kind: WorkEnded, Group: observation.OldGroup.Name, Epoch: observation.OldGroup.Epoch, Order: o.Op, Ended: ended})
	}
	if status == http.StatusAccepted || o.Op == "leave" && status == http.StatusOK {
		v.ordersAccepted++
		v.publish()
	}
	observation.Group, observation.Epoch, observation.Members = o.Group, o.Epoch, v.members
	return status, observation
}

// applyOrder applies an order to the VM's group and returns the response's status. That is 409 for an unknown order,
// and for an open, close or leave order that doesn't fit the VM's current group. The caller must hold v.mu.
func (v *VM) applyOrder(o order) int {
	matches := v.group != nil && v.group.Name == o.Group && v.group.Epoch == o.Epoch
	switch o.Op {
	case "join":
		v.join(o)
		return http.StatusAccepted
	case "stage":
		v.afterDelay(v.config.LoadTime, func() { v.staged = []string{o.Model} })
		return http.StatusAccepted
	case "open":
		if !matches || v.group.State != "ready" {
			return http.StatusConflict
		}
		v.work, v.memberLostAt = newWork(), time.Time{}
		v.setState("open")
		return http.StatusAccepted
	case "close":
		if !matches {
			return http.StatusConflict
		}
		return v.closeHead(o.CloseMode)
	case "leave":
		if !matches {
			return http.StatusConflict
		}
		v.endWork()
		v.group, v.members = nil, nil
		return http.StatusOK
	}
	return http.StatusConflict
}

// join puts the VM into the order's group, where it becomes ready after Config.LoadTime. The caller must hold v.mu.
func (v *VM) join(o order) {
	rank := 0
	for i, id := range o.Members {
		if id == v.config.ID {
			rank = i
		}
	}
	g := &Group{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "joining"}
	v.endWork()
	v.group, v.members, v.model = g, o.Members, o.Model
	v.afterDelay(v.config.LoadTime, func() {
		if v.group == g {
			ready := *g
			ready.State = "ready"
			v.group = &ready
			v.staged = []string{o.Model}
			v.observe(Observation{Kind: BecameReady, Group: o.Group, Epoch: o.Epoch, Members: o.Members})
		}
	})
}

// afterDelay changes the VM's state after a delay and publishes it.
func (v *VM) afterDelay(d time.Duration, change func()) {
	time.AfterFunc(d, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		change()
		v.publish()
	})
}
