package fleet

import (
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// maxInvalid bounds the number of invalid entries that are remembered so that each is logged once.
const maxInvalid = 1024

// reject applies an invalid entry: a VM that was listed under its ID is dropped at once.
// Its group is dissolved according to what its VMs report. reject reports whether a VM
// was dropped.
func (d *Directory) reject(c *Change) bool {
	id, reason := c.VM.ID, c.Err.Error()
	if c.VM.EntryVersion().hasOlderRevision(d.versions.newest(id)) {
		return false
	}
	d.rejected.Add(1)
	if d.invalid[id] != reason && len(d.invalid) < maxInvalid {
		d.invalid[id] = reason
		d.log.Emit(event.EntryUnreadable).Str("vm", id).Bool("known", d.vms[id] != nil).EmbedObject(platform.LogRevision(c.VM.Revision)).Str("reason", reason).Send()
	}
	if d.vms[id] != nil {
		d.recent.add(d.removal(id))
	}
	return d.drop(id)
}
