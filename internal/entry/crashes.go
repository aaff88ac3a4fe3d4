package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/internal/view"
)

const (
	// codeQuarantined refuses a request under which, or under whose traits, too many upstreams terminated.
	codeQuarantined = "quarantined"
	// message is the trait of a message in a conversation. Conversations share all messages but the last.
	message quarantine.TraitKind = "message"
	// maxMessages bounds the messages of a conversation that are told apart. The first ones are shared by the most.
	maxMessages = 128
	// begunEvents is the number of events from which a response has begun.
	begunEvents = 2
)

// portCheckDelays are the delays of the checks whether an upstream whose response broke off has terminated. A dying
// process closes its connections and its port within some milliseconds, in any order.
var portCheckDelays = []time.Duration{0, 15 * time.Millisecond, 60 * time.Millisecond, 240 * time.Millisecond}

// subject returns what the quarantine judges the call by, and its traits.
func (c *call) subject() (quarantine.Subject, []quarantine.Trait) {
	s := quarantine.Subject{
		Request: quarantine.Request{Team: c.team.Name, Method: c.method, Host: c.service.Name, Target: c.upstreamPath, Body: c.body}.Fingerprint(),
		Team:    quarantine.TeamOf(c.team.Name),
	}
	traits := messageTraits(c.service.Name, c.prompt)
	for _, t := range traits {
		s.Traits = append(s.Traits, t.Fingerprint())
	}
	return s, traits
}

// messageTraits returns the traits of a prompt that is a list of messages: one for each of them but the last. A prompt
// of another form has none.
func messageTraits(service string, prompt []byte) []quarantine.Trait {
	var messages []json.RawMessage
	if json.Unmarshal(prompt, &messages) != nil || len(messages) < 2 {
		return nil
	}
	shared := messages[:min(len(messages)-1, maxMessages)]
	out := make([]quarantine.Trait, len(shared))
	for i, m := range shared {
		var compact bytes.Buffer
		_ = json.Compact(&compact, m)
		sum := sha256.Sum256(compact.Bytes())
		out[i] = quarantine.Trait{Kind: message, Service: service, Value: hex.EncodeToString(sum[:8])}
	}
	return out
}

// checkQuarantine refuses a call that is in quarantine, or has a trait that is, and stores the judgement in the call.
func (s *Server) checkQuarantine(c *call) *verdict.Error {
	c.judgement = quarantine.Judgement{}
	if !s.quarantine.HasRecords() {
		return nil
	}
	subject, _ := c.subject()
	c.judgement = s.quarantine.Judge(clock.Now(), subject)
	remaining, detail := c.judgement.Request.Quarantined, "too many upstreams ended while they ran this request"
	if c.judgement.Standing == quarantine.Quarantined {
		remaining, detail = c.judgement.Remaining, "too many upstreams ended while they began to answer requests with the same "+s.quarantine.TraitOf(c.judgement.Trait).String()
	}
	if remaining == 0 {
		return nil
	}
	s.metrics.Count("quarantine.refused", 1)
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeQuarantined, Detail: detail, RetryAfter: remaining}
}

// recordOutcome records whether an upstream answered the call or terminated under it. It looks at the upstream's
// port in the background, since the call goes on.
func (s *Server) recordOutcome(c *call, upstream view.Upstream, sentAt time.Time, failure *verdict.Error) {
	begun := c.events >= begunEvents
	switch {
	case failure == nil && !c.endedWithError:
		if begun || s.quarantine.HasRecords() {
			subject, _ := c.subject()
			s.quarantine.RecordBegun(clock.Now(), subject.Traits)
			s.quarantine.RecordSuccess(clock.Now(), subject.Request)
		}
		return
	case failure != nil && (failure.Verdict == verdict.NotRun || failure.Code != relay.CodeBroken):
		return
	}
	subject, traits := c.subject()
	if begun {
		s.quarantine.RecordBegun(clock.Now(), subject.Traits)
		traits = nil
	}
	tried := c.judgement.Tried
	go s.recordIfTerminated(upstream, subject, quarantine.Crash{Traits: traits, Team: subject.Team, Tried: tried, SentAt: sentAt})
}

// recordIfTerminated records the crash if the upstream's port is closed, now or soon.
func (s *Server) recordIfTerminated(upstream view.Upstream, subject quarantine.Subject, crash quarantine.Crash) {
	if !s.terminated(s.abortCtx, upstream.Address) {
		return
	}
	crash.At = clock.Now()
	crash.Incarnation = s.terminations.incarnation(upstream.Address, crash.SentAt, crash.At)
	v := s.quarantine.RecordTermination(crash.At, subject.Request, crash.Incarnation, true)
	if len(crash.Traits) > 0 {
		s.quarantine.RecordCrash(crash)
	}
	s.metrics.Count("upstreams.ended", 1)
	s.log.Emit(event.UpstreamTerminated).Stringer("fingerprint", subject.Request).Str("vm", upstream.ID).Uint64("generation", upstream.Generation).
		Int("ends", v.Terminations).Int64("quarantined_ms", v.Quarantined.Milliseconds()).Send()
}

// terminationTimes tells apart the terminations of the same upstream, whose list entry does not show a restart. It is
// safe for concurrent use.
type terminationTimes struct {
	mu sync.Mutex
	// last is when each address was last found terminated.
	last map[string]time.Time
}

// incarnation returns what identifies the upstream that was found terminated at the given time, for a call that was
// sent to it at sentAt: calls that were sent before the termination that was found last belong to that one.
func (t *terminationTimes) incarnation(address string, sentAt, foundAt time.Time) quarantine.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last == nil {
		t.last = make(map[string]time.Time)
	}
	if last, ok := t.last[address]; !ok || sentAt.After(last) {
		t.last[address] = foundAt
	}
	return quarantine.IncarnationOf(address, t.last[address].UnixMilli())
}

// terminated reports whether a port is closed, now or at one of the portCheckDelays.
func (s *Server) terminated(ctx context.Context, address string) bool {
	for _, delay := range portCheckDelays {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(delay):
		}
		if s.portClosed(ctx, address) {
			return true
		}
	}
	return false
}

// portClosed reports whether an upstream's port is closed. To an entry that is cut off all ports look closed, which
// does not count.
func (s *Server) portClosed(ctx context.Context, address string) bool {
	checkedAt := clock.Now()
	return s.ports.Closed(ctx, address) && s.reach.ReachesOthers(ctx, s.vmAt(address), checkedAt)
}
