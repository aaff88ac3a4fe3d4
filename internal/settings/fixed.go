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
	{"received and unread bytes of a connection", "16 KB, between daemons 64 KB; the kernel may take twice as much", "The sender waits."},
}
