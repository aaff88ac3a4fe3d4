package groupengine

import (
	"slices"
	"time"
)

// entry is a VM's object in the store.
type entry struct {
	Service string   `json:"service"`
	Addr    string   `json:"addr"`
	Zone    string   `json:"zone"`
	Slots   int      `json:"slots"`
	State   string   `json:"state"`
	Domain  string   `json:"domain,omitempty"`
	Staged  []string `json:"staged"`
	Models  []model  `json:"models"`
	Group   *Group   `json:"group,omitempty"`
	Version string   `json:"version"`
	Warmup  int64    `json:"warmup-left-ms"`
	Seq     uint64   `json:"seq"`
	Born    int64    `json:"born"`
}

// DeleteEntry deletes the VM's entry for good, without a drain before. The VM continues to serve.
func (v *VM) DeleteEntry() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.entryDeleted = true
	v.store.Delete("servers", v.config.ID)
}

// RewriteEntry writes the VM's entry again, or removes it again, after the store was restored from an older copy.
func (v *VM) RewriteEntry() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.entryDeleted {
		v.store.Delete("servers", v.config.ID)
		return
	}
	v.publish()
}

// publish writes the VM's entry to the store. The caller must hold v.mu.
func (v *VM) publish() {
	if v.entryDeleted {
		return
	}
	e := entry{Service: v.config.Service, Addr: v.config.Address, Zone: v.config.FailureDomain, Slots: 8, State: "ready",
		Domain: v.config.FabricDomain, Staged: v.staged, Models: []model{}, Group: v.group, Version: "v1", Seq: v.entriesWritten, Born: v.born, Warmup: v.warmupLeft()}
	v.entriesWritten++
	if v.draining {
		e.State = "draining"
	}
	if v.model != "" {
		e.Models = append(e.Models, model{v.model})
	}
	if v.config.WriteDelay != nil {
		if d := v.config.WriteDelay(); d > 0 {
			v.writeLate(e, d)
			return
		}
	}
	v.store.Put("servers", v.config.ID, e)
}

// writeLate writes an entry after the delay, unless the VM's entry was deleted for good meanwhile.
func (v *VM) writeLate(e entry, d time.Duration) {
	if v.group != nil {
		// The entry holds the state of now.
		g := *v.group
		e.Group = &g
	}
	e.Staged = slices.Clone(e.Staged)
	time.AfterFunc(d, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		if !v.entryDeleted {
			v.store.Put("servers", v.config.ID, e)
		}
	})
}
