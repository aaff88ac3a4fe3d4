package daemon

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/resource"
	"github.com/marbleroad/marbleroad/internal/settings"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// bytesPerMegabyte converts the unit of the settings.
const bytesPerMegabyte = 1 << 20

// newBudget returns the budget of a process, and limits its Go runtime if the settings specify the memory.
func newBudget(s settings.Node) (*resource.Budget, error) {
	memory, descriptors := int64(s.Memory*bytesPerMegabyte), s.Descriptors
	var err error
	if memory == 0 {
		memory, err = resource.DefaultMemory()
	}
	if err == nil && descriptors == 0 {
		descriptors, err = resource.DefaultDescriptors()
	}
	if err != nil {
		return nil, err
	}
	limits := resource.NewLimits(memory, descriptors)
	if s.Memory > 0 {
		debug.SetMemoryLimit(limits.Runtime)
	}
	return resource.NewBudget(limits), nil
}

// refusalInterval is the time between two reports of what was refused for lack of room.
const refusalInterval = time.Second

// reportRefusals publishes what this process refuses for lack of room, and logs it while there is some: a line an interval,
// however many connections are refused.
func (b base) reportRefusals(ctx context.Context) {
	defer crash.Guard()
	type counts struct{ evicted, refused, heads, bodies int64 }
	var reported counts
	for wait.Sleep(ctx, refusalInterval) {
		stats := b.budget.Stats
		now := counts{stats.Evicted.Load(), stats.Refused.Load(), stats.Heads.Load(), stats.Bodies.Load()}
		b.metrics.Set("callers.evicted", now.evicted)
		b.metrics.Set("callers.refused", now.refused)
		b.metrics.Set("callers.headers_refused", now.heads)
		b.metrics.Set("callers.bodies_refused", now.bodies)
		if now != reported {
			b.log.Emit(event.CallersRefused).Int64("evicted", now.evicted-reported.evicted).Int64("refused", now.refused-reported.refused).
				Int64("headers", now.heads-reported.heads).Int64("bodies", now.bodies-reported.bodies).Int64("reserved_bytes", b.budget.Pool.Used()).Send()
			reported = now
		}
	}
}
