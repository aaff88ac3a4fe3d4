package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Trait is a property that requests share and that may crash the upstreams that run them, whatever else the
// requests hold. The zero value means no trait.
type Trait struct {
	Kind TraitKind
	// Service and Model name the upstreams to which the trait is sent; Model is empty for plain services.
	Service, Model string
	Value          string
}

// TraitKind is a kind of traits. It is written to messages and to the store.
type TraitKind string

// PromptPart is a part of a prompt by its ID. Prompts share all parts but the last.
const PromptPart TraitKind = "prompt-part"

// Fingerprint returns a cryptographic hash, as that of a request is.
func (t Trait) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range [...]string{"trait", string(t.Kind), t.Service, t.Model, t.Value} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(field))
	}
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String returns the trait as logs and status show it, and "" for the zero value.
func (t Trait) String() string {
	switch {
	case t.Kind == "":
		return ""
	case t.Model == "":
		return fmt.Sprintf("%s %s of service %s", t.Kind, t.Value, t.Service)
	}
	return fmt.Sprintf("%s %s of model %s", t.Kind, t.Value, t.Model)
}

// Team identifies a team by a hash of its name. severalTeams stands for more than one, or an unknown one.
type Team uint32

const severalTeams Team = 0

// TeamOf returns the hash of a team's name, which is never severalTeams.
func TeamOf(name string) Team { return Team(uint32(xxhash.Sum64String(name)) | 1) }

const (
	// votesToQuarantine is how many terminations that count (see votes) quarantine a trait that no response is known to have
	// begun with; votesToQuarantineKnown is the same for a trait that responses began with before.
	votesToQuarantine      = 3
	votesToQuarantineKnown = 4
	// maxExtraVotes bounds what is added to both while upstreams terminate without the trait: one for each time that
	// as many do so as with it, since a trial may then meet a crash by chance.
	maxExtraVotes = 2
	// votesOfLikelyCause is how many terminations must count against another trait for those not to be chance.
	votesOfLikelyCause = 2
	// terminationsToTry and terminationsToTryKnown are the numbers of terminations from which the requests
	// with the trait are sent to the same upstream, so that they crash one together and not one each.
	terminationsToTry      = 1
	terminationsToTryKnown = 2
	// suspectWindow is how long before the first termination under a trait another one belongs to the same failure
	// of upstreams.
	suspectWindow = time.Second
	// maxTraitTerminations bounds the terminations that the record of a trait keeps. With it, the confirmed records
	// take up to 600 bytes each in the store, and 1,024 fit into the megabyte that the platform takes for one object.
	maxTraitTerminations = 8
	// maxCandidates bounds the traits of one request that are suspected when its upstream terminates.
	maxCandidates = 8
)

// Standing says how requests with a trait are sent.
type Standing uint8

const (
	// Free means that nothing is held against the trait.
	Free Standing = iota
	// OnTrial means that the requests with the trait are sent to the same upstream, as trials.
	OnTrial
	// Quarantined means that they are not sent.
	Quarantined
)

// votes returns how many of the terminations count against a trait: the first, and each under a trial that was
// sent after the previous one that counts. Upstreams that crash together, for a reason of their own, thus count once
// however many requests with the trait they had.
func votes(terminations []Termination) int {
	n := 0
	var last Termination
	for _, e := range terminations {
		if n == 0 || e.TriedAt.After(last.At) {
			n++
			last = e
		}
	}
	return n
}

// known reports whether a response is known to have begun with the trait.
func (r *Record) known() bool { return !r.ClearedAt.IsZero() }

// standing returns how requests with the trait are sent, if the given ones of its terminations are not explained by
// another trait.
func (r *Record) standing(unexplained []Termination) Standing {
	needed := terminationsToTry
	if r.known() {
		needed = terminationsToTryKnown
	}
	switch {
	case !r.QuarantinedAt.IsZero():
		return Quarantined
	case len(unexplained) >= needed:
		return OnTrial
	}
	return Free
}

// concerns reports whether the terminations concern a team's requests: at least one of them was under a request of
// the team, or they were under requests of several teams. A team can name the parts of another team's prompts in
// its own requests, and must not get those of the other team rejected.
func (r *Record) concerns(team Team) bool {
	first := r.Terminations[0].Team
	for _, e := range r.Terminations {
		if e.Team == team || e.Team == severalTeams || e.Team != first {
			return true
		}
	}
	return false
}
