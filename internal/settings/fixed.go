package settings

// FixedLimit is a limit on what callers may send that has no key.
type FixedLimit struct {
	Name, Value string
	// Doc describes what happens beyond it.
	Doc string
}

// FixedLimits lists the limits of docs/CONFIGURATION.md that have no key.
var FixedLimits = []FixedLimit{
	{"header of a request", "64 KB; 16 KB to an admin address or for a readiness check", "Rejected with 431. The platform's configuration may set less for callers of marbleroad-node."},
	{"time for the body of a request", "30 s between daemons, 5 s to an admin address or for a readiness check and for a body that its handler does not read", "Its connection or stream ends."},
	{"time for a part of a response", "10 s from an admin address, 5 s for a readiness check", "The connection is closed."},
	{"received and unread bytes of a connection", "16 KB, between daemons 32 KB; the kernel may take twice as much", "The sender waits."},
}
