package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Subject is what a request is judged by.
type Subject struct {
	Request Fingerprint
	Team    Team
	// Traits are the fingerprints of the request's traits.
	Traits []Fingerprint
}

// Judgement is the verdict on a request with its traits.
type Judgement struct {
	// Request is the verdict on the request itself.
	Request Verdict
	// Standing is the worst of the traits, and Trait the most suspected one that has it; zero if all are Free.
	Trait    Fingerprint
	Standing Standing
	// Tried are the traits that the request would be a trial of: Trait, and those that are suspected as much.
	Tried []Fingerprint
	// Remaining is how long a quarantined trait remains in quarantine.
	Remaining time.Duration
}

// Judge returns the verdict on a request and its traits.
//
// A trait that is together with one that crashes upstreams, in a prompt or at an upstream, gets the same terminations.
// So other traits explain terminations (see unexplained), and only the others count. A trait in quarantine of which
// nothing is left is tried. The same holds for the request itself.
func (t *Table) Judge(now time.Time, s Subject) Judgement {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := Judgement{Request: t.verdict(now, s.Request)}
	var worst suspicion
	if j.Request.Terminations > 0 && len(t.unexplained(now, t.records[s.Request], s.Traits)) == 0 {
		j.Request = Verdict{}
	}
	for _, f := range s.Traits {
		r := t.records[f]
		if r == nil || len(r.Terminations) == 0 || !now.Before(r.ExpiresAt()) {
			continue
		}
		left := t.unexplained(now, r, s.Traits)
		standing := r.standing(left)
		if standing == Quarantined && (!r.concerns(s.Team) || len(left) == 0) {
			standing = OnTrial
		}
		current := suspicion{standing, !r.known(), len(left)}
		switch order := current.compare(worst); {
		case standing == Free || order < 0:
			continue
		case order > 0:
			worst, j.Tried = current, nil
		}
		// Of traits that are suspected alike, the last one is shared by fewer requests.
		j.Trait, j.Standing, j.Remaining = f, standing, r.ExpiresAt().Sub(now)
		j.Tried = append(j.Tried, f)
	}
	return j
}

// suspicion orders the traits of a request by how much they are suspected: by their standing, then those that no
// response is known to have begun with, then by their terminations.
type suspicion struct {
	standing     Standing
	unknown      bool
	terminations int
}

// compare returns a positive number if s is more suspected than other, and 0 if it is suspected as much.
func (s suspicion) compare(other suspicion) int {
	rank := func(unknown bool) int {
		if unknown {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(s.standing, other.standing), rank(s.unknown)-rank(other.unknown), cmp.Compare(s.terminations, other.terminations))
}

// unexplained returns the terminations of a record that no other trait explains. A quarantined trait explains those
// that it shares with the record, unless the request has it too. For a trait with which responses began before, so
// does any suspected trait with which none is known to have begun. The caller must hold mu.
func (t *Table) unexplained(now time.Time, r *Record, traits []Fingerprint) []Termination {
	var others []*Record
	for _, other := range t.quarantinedTraits {
		if other != r && now.Before(other.ExpiresAt()) && !slices.Contains(traits, other.Fingerprint) {
			others = append(others, other)
		}
	}
	if r.Trait != (Trait{}) && r.known() {
		for _, other := range t.unknownTraits {
			if now.Before(other.ExpiresAt()) {
				others = append(others, other)
			}
		}
	}
	if len(others) == 0 {
		return r.Terminations
	}
	var out []Termination
	for _, e := range r.Terminations {
		if !slices.ContainsFunc(others, func(other *Record) bool { return other.has(e.Incarnation) }) {
			out = append(out, e)
		}
	}
	return out
}

// Crash is the termination of a VM's incarnation under a request that had not begun to be answered.
type Crash struct {
	Incarnation Incarnation
	At          time.Time
	// Traits are those of the request, Team the team that sent it.
	Traits []Trait
	Team   Team
	// Tried are the fingerprints of the traits that the request was a trial of, and SentAt when it was sent.
	Tried  []Fingerprint
	SentAt time.Time
}

// RecordCrash records a crash against the traits of the request. Traits that no response is known to have begun with
// are the first candidates. It returns the records of the traits that are not Free.
func (t *Table) RecordCrash(c Crash) []Record {
	var out []Record
	var suspected, quarantined, all []Fingerprint
	for _, trait := range c.Traits {
		all = append(all, trait.Fingerprint())
	}
	confirmed := false
	t.mu.Lock()
	t.sweep(c.At)
	for _, trait := range t.candidates(c.Traits) {
		r := t.record(trait.Fingerprint())
		r.Trait, r.observedHere = trait, true
		wasFree := r.QuarantinedAt.IsZero()
		t.clearKnown(r)
		e := Termination{Incarnation: c.Incarnation, At: c.At, Team: c.Team}
		if slices.Contains(c.Tried, r.Fingerprint) {
			e.TriedAt = c.SentAt
		}
		if r.add(e) {
			t.quarantineTrait(c.At, r, all)
			t.markChanged(r)
			suspected, quarantined = t.appendChanged(c.At, r, wasFree, suspected, quarantined)
			confirmed = confirmed || r.Confirmed
		}
		if t.currentStanding(c.At, r) > Free {
			out = append(out, r.copy())
		}
	}
	t.mu.Unlock()
	t.notify(suspected, quarantined)
	if confirmed {
		t.notifyConfirmed()
	}
	return out
}

// TraitOf returns the trait with a fingerprint; zero if the table has no record of it.
func (t *Table) TraitOf(f Fingerprint) Trait {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[f]; r != nil {
		return r.Trait
	}
	return Trait{}
}

// quarantineTrait quarantines a trait if enough terminations count against it. traits are those of the request that
// crashed, which don't explain each other. The caller must hold mu.
func (t *Table) quarantineTrait(now time.Time, r *Record, traits []Fingerprint) {
	if !r.QuarantinedAt.IsZero() {
		return
	}
	needed := votesToQuarantine
	if r.known() {
		needed = votesToQuarantineKnown
	}
	votes := votes(t.unexplained(now, r, traits))
	if votes < needed {
		return
	}
	needed += min(t.terminationsWithout(r)/len(r.Terminations), maxExtraVotes)
	if votes >= needed {
		r.QuarantinedAt = r.Terminations[len(r.Terminations)-1].At
	}
}

// terminationsWithout returns how many incarnations terminated without the trait since shortly before the first one
// that terminated with it. It leaves out those that terminated under another trait that probably crashes upstreams
// too: they do not make it likelier that a trial meets a crash by chance. The caller must hold mu.
func (t *Table) terminationsWithout(r *Record) int {
	since := r.Terminations[0].At.Add(-suspectWindow)
	seen := make(map[Incarnation]bool)
	var likelyCauses []*Record
	for _, other := range t.records {
		if other != r && other.Trait != (Trait{}) && votes(other.Terminations) >= votesOfLikelyCause {
			likelyCauses = append(likelyCauses, other)
		}
	}
	for _, other := range t.records {
		for _, e := range other.Terminations {
			caused := slices.ContainsFunc(likelyCauses, func(c *Record) bool { return c.has(e.Incarnation) })
			if e.At.After(since) && !r.has(e.Incarnation) && !caused {
				seen[e.Incarnation] = true
			}
		}
	}
	return len(seen)
}

// candidates returns at most maxCandidates of a request's traits, those that no response is known to have begun with
// first. The caller must hold mu.
func (t *Table) candidates(traits []Trait) []Trait {
	var unknown, known []Trait
	for _, trait := range traits {
		if t.begun.last(trait.Fingerprint()).IsZero() {
			unknown = append(unknown, trait)
		} else {
			known = append(known, trait)
		}
	}
	all := append(unknown, known...)
	return all[:min(len(all), maxCandidates)]
}

// HasUnknown reports whether no response is known to have begun with one of the traits.
func (t *Table) HasUnknown(traits []Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(traits, func(f Fingerprint) bool { return t.begun.last(f).IsZero() })
}

// RecordBegun records that a response to a request with the traits has begun, so that none of them crashes each
// upstream that begins one.
func (t *Table) RecordBegun(now time.Time, traits []Fingerprint) {
	t.mu.Lock()
	confirmed := false
	for _, f := range traits {
		t.begun.add(f, now)
		r := t.records[f]
		if r == nil || len(r.Terminations) == 0 || !r.clear(now) {
			continue
		}
		r.observedHere = true
		t.markChanged(r)
		confirmed = confirmed || r.Confirmed
	}
	t.mu.Unlock()
	if confirmed {
		t.notifyConfirmed()
	}
}

// clearKnown clears a trait up to the last response that this node knows to have begun with it, and reports
// whether that changes the record. The caller must hold mu.
func (t *Table) clearKnown(r *Record) bool {
	at := t.begun.last(r.Fingerprint)
	if at.IsZero() || !r.clear(at) {
		return false
	}
	r.observedHere = true
	return true
}

// currentStanding returns how requests with the trait are sent that share no other trait with it. The caller must
// hold mu.
func (t *Table) currentStanding(now time.Time, r *Record) Standing {
	return r.standing(t.unexplained(now, r, nil))
}

// appendChanged adds the fingerprint of a trait's changed record to those that were quarantined or, if it is not
// in quarantine, to those that are suspected. The caller must hold mu.
func (t *Table) appendChanged(now time.Time, r *Record, wasFree bool, suspected, quarantined []Fingerprint) (s, q []Fingerprint) {
	switch {
	case wasFree && !r.QuarantinedAt.IsZero():
		quarantined = append(quarantined, r.Fingerprint)
	case r.QuarantinedAt.IsZero() && r.Trait != Trait{} && t.currentStanding(now, r) > Free:
		suspected = append(suspected, r.Fingerprint)
	}
	return suspected, quarantined
}
