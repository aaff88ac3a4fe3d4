package director

import (
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/internal/placement"
)

// fabricReservation reserves the free VMs of a fabric domain for a model.
type fabricReservation struct {
	model string
	until time.Time
	// groups is the number of groups to be formed, and payback the time in which they pay for the
	// dissolutions; 0 without packing.
	groups  int
	payback time.Duration
}

// packingReservation returns the reservation of the fabric domain in which a decision dissolves
// groups.
func packingReservation(d placement.Decision, until time.Time) fabricReservation {
	r := fabricReservation{model: d.DissolvedFor, until: until, groups: max(d.DissolvedCount, 1)}
	if d.Change != nil {
		r.payback = d.Change.Payback
	}
	return r
}

// reservationFor returns the reservation of the fabric domain for a model; the zero value if there is none that still
// holds.
func (s *state) reservationFor(now time.Time, fabric, model string) fabricReservation {
	r := s.fabricReservations[fabric]
	if r.model != model || !now.Before(r.until) {
		return fabricReservation{}
	}
	return r
}

// fulfillReservation removes one group of the model from the fabric domain's reservation, and the reservation with its
// last group. A reservation that no longer holds is removed too.
func (s *state) fulfillReservation(now time.Time, fabric, model string) {
	r := s.reservationFor(now, fabric, model)
	r.groups--
	if r.groups <= 0 {
		delete(s.fabricReservations, fabric)
		return
	}
	s.fabricReservations[fabric] = r
}

// reservedFabrics returns the fabric domains whose free VMs are reserved for a model until the
// remaining groups that were dissolved for it are released.
func (s *state) reservedFabrics(now time.Time) map[string]string {
	out := make(map[string]string)
	for fabric, reservation := range s.fabricReservations {
		if now.Before(reservation.until) {
			out[fabric] = reservation.model
		}
	}
	return out
}

// publishPreparing publishes the models for whose groups other groups are being dissolved.
func (s *state) publishPreparing(now time.Time) {
	models := []string{}
	for _, fabric := range sorted(s.fabricReservations) {
		if reservation := s.fabricReservations[fabric]; now.Before(reservation.until) {
			for range reservation.groups {
				models = append(models, reservation.model)
			}
		}
	}
	if slices.Equal(models, s.d.Preparing()) {
		return
	}
	s.d.preparing.Store(&models)
	s.d.parts.Nodes.TriggerExchange()
}
