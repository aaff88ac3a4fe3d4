package batch

import (
	"testing"
	"time"
)

// TestLongestPassAddsUp compares predictions with sums computed by hand: decoding and the reading of all prompts,
// as far as a pass reads them. It guards against a limit that counts prompts which later passes read.
func TestLongestPassAddsUp(t *testing.T) {
	e := engine()
	load := Load{InFlight: 9, UnreadTokens: 7000}
	decode := 5 * (6*time.Millisecond + 10*200*time.Microsecond)
	if got, want := e.LongestPass(load, 1000), decode+200*time.Millisecond; got != want {
		t.Errorf("%v, expected %v", got, want)
	}
	e.MaxReadPerStep = 400
	if got, want := e.LongestPass(load, 1000), decode+50*time.Millisecond; got != want {
		t.Errorf("at most 2,000 tokens a pass: %v, expected %v", got, want)
	}
	if got := (Engine{Slots: 1}).LongestPass(load, 1000); got != 0 {
		t.Errorf("%v without figures", got)
	}
}

// TestUnreadPromptsOfOthers checks that reported prompts count in full at first and not at all after two passes,
// and that those sent since add up for two passes only. It guards against heads that are avoided for prompts
// which they have read.
func TestUnreadPromptsOfOthers(t *testing.T) {
	e := engine()
	if got := e.Unread(Others{}, 5); got != 0 {
		t.Errorf("%.0f tokens without other nodes", got)
	}
	if got := e.Unread(Others{UnreadTokens: 3000, TokensPerSecond: 1000}, 5); got != 3000 {
		t.Errorf("%.0f of 3000 tokens just reported", got)
	}
	twoPasses := 2 * (e.DecodeTime(5) + e.ReadTime(3000))
	want := 1000 * twoPasses.Seconds()
	for _, age := range []time.Duration{twoPasses, time.Minute} {
		if got := e.Unread(Others{UnreadTokens: 3000, Age: age, TokensPerSecond: 1000}, 5); got < want-1 || got > want+1 {
			t.Errorf("%.0f tokens after %v, expected %.0f", got, age, want)
		}
	}
}
