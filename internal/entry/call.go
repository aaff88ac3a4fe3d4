package entry

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/marbleroad/marbleroad/internal/callers"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/resource"
	"github.com/marbleroad/marbleroad/internal/table"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/internal/view"
)

// Headers of the callers' protocol.
const (
	// TimeoutHeader is a duration such as 1500ms, counted from the time at which
	// the body has been read.
	TimeoutHeader = "Marbleroad-Timeout"
	// DeadlineHeader is a time in RFC 3339. It takes precedence over TimeoutHeader.
	DeadlineHeader = "Marbleroad-Deadline"
	// NonIdempotentHeader with the value "yes" marks a request that must run at most once.
	NonIdempotentHeader = "Marbleroad-Non-Idempotent"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"
	// LastEventHeader carries the ID of the last event of a stream that the
	// caller received.
	LastEventHeader = "Last-Event-ID"
	// HopHeader marks a request that another entry forwarded. It is not
	// forwarded again.
	HopHeader = "Marbleroad-Hop"
	// ReplayedHeader marks a response that was stored when the request first ran.
	ReplayedHeader = "Idempotency-Replayed"

	// maxIdempotencyKeyBytes bounds the value of KeyHeader.
	maxIdempotencyKeyBytes = 256
)

// Error codes of requests that are refused as invalid.
const (
	// codeInvalidKey means that the request carries no team's key.
	codeInvalidKey     = "bad-key"
	codeUnknownService = "unknown-service"
	codeBadRequest     = "bad-request"
	codeTooLarge       = "body-too-large"
	codeDeadlinePast   = "deadline-past"
	codeNotFound       = "not-found"
	codeNotReady       = "not-ready"
	// codeNoBuffer means that the entry has no room for the body.
	codeNoBuffer = "no-buffer"
)

// call is one request that the entry processes. It belongs to the goroutine
// that handles the request.
type call struct {
	id       string
	team     view.Team
	service  view.Service
	priority int
	deadline time.Time
	// atMostOnce is true when the request must run at most once.
	atMostOnce     bool
	idempotencyKey string
	method         string
	// upstreamPath is the path and query of the request to the upstream.
	upstreamPath string
	header       http.Header
	body         []byte
	// prompt is the part of the body that prefix caches match.
	prompt []byte
	stream bool
	// openAI is true when errors are sent in the OpenAI format.
	openAI bool
	// forwarded is true when another entry forwarded the request.
	forwarded bool
	// lastEvent is the last event that a resuming caller received; zero for
	// a new request.
	lastEvent eventID
	decisions *decisionLog
	// events is the number of events that were passed on. judgement is the state of the call's quarantine when it was
	// sent.
	events    int
	judgement quarantine.Judgement
	// readAt is when the request had been read. lost is why it ended without a whole answer; zero if it did not.
	readAt time.Time
	lost   lostCall
	// aborted is true when the caller's connection must be aborted, as its response is a part.
	aborted bool
	// endedWithError is true when the stream ended with an error event.
	endedWithError bool
}

// eventID identifies one streamed event to the caller: the location of its run
// and its sequence number. Its text is FAILURE-DOMAIN/VM/RUN/NUMBER.
type eventID struct {
	failureDomain string
	vm            string
	run           string
	sequence      uint64
}

// eventIDParts is the number of parts in the text of an event ID.
const eventIDParts = 4

func (e eventID) isZero() bool { return e.run == "" }

// prefix returns the text of the ID up to the sequence number.
func (e eventID) prefix() string {
	return e.failureDomain + "/" + e.vm + "/" + e.run + "/"
}

// parseEventID parses the text of an event ID and reports whether it is valid.
func parseEventID(text string) (eventID, bool) {
	parts := strings.Split(text, "/")
	if len(parts) != eventIDParts {
		return eventID{}, false
	}
	for _, p := range parts[:eventIDParts-1] {
		if table.CheckName(strings.ToLower(p)) != nil {
			return eventID{}, false
		}
	}
	sequence, err := strconv.ParseUint(parts[3], 10, 63)
	if err != nil {
		return eventID{}, false
	}
	return eventID{failureDomain: parts[0], vm: parts[1], run: parts[2], sequence: sequence}, true
}

// invalidInput returns the failure of a request that is refused as invalid.
func invalidInput(status int, code, detail string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: status, Code: code, Detail: detail}
}

// authenticate returns the team that the bearer key belongs to.
func authenticate(s *view.Snapshot, h http.Header) (view.Team, *verdict.Error) {
	key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return view.Team{}, invalidInput(http.StatusUnauthorized, codeInvalidKey, "the Authorization header carries no bearer key")
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	team, ok := s.Teams[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(team.KeySHA256), []byte(hash)) != 1 {
		return view.Team{}, invalidInput(http.StatusUnauthorized, codeInvalidKey, "no team has this key")
	}
	return team, nil
}

// newRequestID returns a request ID that sorts by time.
func newRequestID() string {
	return ulid.MustNew(ulid.Now(), rand.Reader).String()
}

// peerContextKey is the context key that marks requests which came through the
// peer listener.
type peerContextKey struct{}

// fromPeer reports whether another entry sent the request.
func fromPeer(r *http.Request) bool {
	return r.Context().Value(peerContextKey{}) != nil
}

// readCall reads what all calls have in common. setService adds what depends
// on the service.
func (s *Server) readCall(w http.ResponseWriter, r *http.Request, team view.Team) (*call, *verdict.Error) {
	c := &call{
		id:        newRequestID(),
		team:      team,
		method:    r.Method,
		header:    r.Header,
		forwarded: r.Header.Get(HopHeader) != "",
	}
	if given := r.Header.Get(relay.RequestIDHeader); fromPeer(r) && table.CheckName(strings.ToLower(given)) == nil {
		c.id = given
	}
	c.decisions = s.decisionLogs.start(c.id)
	var failure *verdict.Error
	c.body, failure = s.readBody(w, r)
	if failure != nil {
		return c, failure
	}
	if failure := c.readPriority(); failure != nil {
		return c, failure
	}
	c.idempotencyKey = r.Header.Get(KeyHeader)
	if len(c.idempotencyKey) > maxIdempotencyKeyBytes {
		return c, invalidInput(http.StatusBadRequest, codeBadRequest, "Idempotency-Key is longer than 256 bytes")
	}
	if text := r.Header.Get(LastEventHeader); text != "" {
		id, ok := parseEventID(text)
		if !ok {
			return c, invalidInput(http.StatusBadRequest, codeBadRequest, "Last-Event-ID is not an ID that this system gave out")
		}
		c.lastEvent = id
	}
	return c, nil
}

// readBody reads the whole body, within the limits on its size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *verdict.Error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(s.config.BodyTimeout))
	body, err := callers.ReadBody(http.MaxBytesReader(w, r.Body, s.config.MaxBody), r.ContentLength)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	if errors.Is(err, resource.ErrExhausted) {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeNoBuffer, Detail: err.Error(), RetryAfter: refusedRetryAfter}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, invalidInput(http.StatusRequestTimeout, codeBadRequest, "the body did not come in time")
	}
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return nil, invalidInput(http.StatusRequestEntityTooLarge, codeTooLarge,
			"the body is larger than "+strconv.FormatInt(s.config.MaxBody, 10)+" bytes")
	}
	return nil, invalidInput(http.StatusBadRequest, codeBadRequest, "the body could not be read to its end")
}

// readPriority sets the requested priority, capped by the team's maximum.
func (c *call) readPriority() *verdict.Error {
	c.priority = min(c.team.MaxPriority, defaultPriority)
	text := c.header.Get(relay.PriorityHeader)
	if text == "" {
		return nil
	}
	requested, err := strconv.Atoi(text)
	if err != nil || requested < 0 || requested > table.MaxPriority {
		return invalidInput(http.StatusBadRequest, codeBadRequest, "Marbleroad-Priority is not a whole number from 0 to 9")
	}
	c.priority = min(requested, c.team.MaxPriority)
	return nil
}

// defaultPriority applies when the caller names no priority.
const defaultPriority = 5

// setService sets what follows from the service's row in the table.
func (c *call) setService(snapshot *view.Snapshot, name string, kind table.ServiceKind, now time.Time) *verdict.Error {
	service, ok := snapshot.Services[name]
	if !ok || service.Kind != kind {
		return invalidInput(http.StatusNotFound, codeUnknownService, "there is no "+string(kind)+" service named "+strconv.Quote(name))
	}
	c.service = service
	switch value := c.header.Get(NonIdempotentHeader); value {
	case "", "no":
		c.atMostOnce = !service.Idempotent
	case "yes":
		c.atMostOnce = true
	default:
		return invalidInput(http.StatusBadRequest, codeBadRequest, "Marbleroad-Non-Idempotent is neither yes nor no")
	}
	return c.readDeadline(now)
}

// readDeadline sets the deadline: the caller's if it gave one, otherwise the
// service's timeout from now.
func (c *call) readDeadline(now time.Time) *verdict.Error {
	c.deadline = now.Add(c.service.Timeout)
	if text := c.header.Get(TimeoutHeader); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil {
			return invalidInput(http.StatusBadRequest, codeBadRequest, "Marbleroad-Timeout is not a duration such as 1500ms")
		}
		c.deadline = now.Add(timeout)
	}
	if text := c.header.Get(DeadlineHeader); text != "" {
		moment, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return invalidInput(http.StatusBadRequest, codeBadRequest, "Marbleroad-Deadline is not a moment in RFC 3339")
		}
		// From here on the deadline is measured by package clock, so that setting
		// the wall clock doesn't move it.
		c.deadline = now.Add(time.Until(moment))
	}
	if !c.deadline.After(now) {
		return invalidInput(http.StatusBadRequest, codeDeadlinePast, "the deadline has passed")
	}
	return nil
}

// modelRequest is the part of an OpenAI request that the entry reads.
type modelRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// readModelRequest reads the body of an OpenAI request and returns the model
// that it names.
func (c *call) readModelRequest() (string, *verdict.Error) {
	var m modelRequest
	if err := json.Unmarshal(c.body, &m); err != nil {
		return "", invalidInput(http.StatusBadRequest, codeBadRequest, "the body is not the JSON object that this path takes")
	}
	if m.Model == "" {
		return "", invalidInput(http.StatusBadRequest, codeBadRequest, "the body names no model")
	}
	c.stream = m.Stream
	c.prompt = m.Messages
	if len(c.prompt) == 0 {
		c.prompt = m.Prompt
	}
	if len(c.prompt) == 0 {
		return "", invalidInput(http.StatusBadRequest, codeBadRequest, "the body has neither messages nor prompt")
	}
	return m.Model, nil
}
