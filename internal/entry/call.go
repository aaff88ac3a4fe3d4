package entry

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/table"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/internal/view"
)

// Headers of the callers' protocol.
const (
	// TimeoutHeader is a duration such as 1500ms, counted from the arrival.
	TimeoutHeader = "Marbleroad-Timeout"
	// DeadlineHeader is a moment in RFC 3339.
	DeadlineHeader = "Marbleroad-Deadline"
	// NonIdempotentHeader with the value "yes" marks a request that must run at most once.
	NonIdempotentHeader = "Marbleroad-Non-Idempotent"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"
	// LastEventHeader names the last event that the caller got of a stream.
	LastEventHeader = "Last-Event-ID"
	// HopHeader marks a request that came from another entry; it goes no further.
	HopHeader = "Marbleroad-Hop"
	// ReplayedHeader marks an answer that was kept from the first run.
	ReplayedHeader = "Idempotency-Replayed"

	maxKeyBytes = 256
)

// Codes of refusals for bad input.
const (
	codeBadKey         = "bad-key"
	codeUnknownService = "unknown-service"
	codeBadRequest     = "bad-request"
	codeTooLarge       = "body-too-large"
	codeDeadlinePast   = "deadline-past"
	codeNotFound       = "not-found"
	codeNotReady       = "not-ready"
)

// call is one request on its way through the entry. It belongs to the
// goroutine that handles the request.
type call struct {
	id       string
	team     view.Team
	service  view.Service
	priority int
	deadline time.Time
	// once is true when the request must run at most once.
	once   bool
	key    string
	method string
	// path is the path and query at the upstream.
	path   string
	header http.Header
	body   []byte
	// prompt is the part of the body that prefix caches look at.
	prompt []byte
	stream bool
	// openAI is true when errors go out in the OpenAI format.
	openAI bool
	hop    bool
	last   eventID
	trail  *trail
	// broken is true when the stream had to end with an error event.
	broken bool
}

// eventID is the caller's name of one streamed event: where its run is, and
// its number. Its text is FAILURE-DOMAIN/VM/RUN/NUMBER.
type eventID struct {
	failureDomain string
	vm            string
	run           string
	sequence      uint64
}

const eventIDParts = 4

func (e eventID) zero() bool { return e.run == "" }

// prefix is the text of the ID up to the number.
func (e eventID) prefix() string {
	return e.failureDomain + "/" + e.vm + "/" + e.run + "/"
}

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

func badInput(status int, code, detail string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: status, Code: code, Detail: detail}
}

// authenticate finds the team of the bearer key.
func authenticate(s *view.Snapshot, h http.Header) (view.Team, *verdict.Error) {
	key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return view.Team{}, badInput(http.StatusUnauthorized, codeBadKey, "the Authorization header carries no bearer key")
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	team, ok := s.Teams[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(team.KeySHA256), []byte(hash)) != 1 {
		return view.Team{}, badInput(http.StatusUnauthorized, codeBadKey, "no team has this key")
	}
	return team, nil
}

// newRequestID returns a request ID that sorts by time.
func newRequestID() string {
	return ulid.MustNew(ulid.Now(), rand.Reader).String()
}

// peerKey marks in a request's context that it came through the peer listener.
type peerKey struct{}

// fromPeer reports whether another entry sent the request.
func fromPeer(r *http.Request) bool {
	return r.Context().Value(peerKey{}) != nil
}

// readCall reads what all calls have in common. The service comes later.
func (s *Server) readCall(w http.ResponseWriter, r *http.Request, team view.Team) (*call, *verdict.Error) {
	c := &call{
		id:     newRequestID(),
		team:   team,
		method: r.Method,
		header: r.Header,
		hop:    r.Header.Get(HopHeader) != "",
	}
	if given := r.Header.Get(relay.RequestIDHeader); fromPeer(r) && table.CheckName(strings.ToLower(given)) == nil {
		c.id = given
	}
	c.trail = s.trails.begin(c.id)
	var fault *verdict.Error
	c.body, fault = s.readBody(w, r)
	if fault != nil {
		return c, fault
	}
	if fault := c.readPriority(); fault != nil {
		return c, fault
	}
	c.key = r.Header.Get(KeyHeader)
	if len(c.key) > maxKeyBytes {
		return c, badInput(http.StatusBadRequest, codeBadRequest, "Idempotency-Key is longer than 256 bytes")
	}
	if text := r.Header.Get(LastEventHeader); text != "" {
		id, ok := parseEventID(text)
		if !ok {
			return c, badInput(http.StatusBadRequest, codeBadRequest, "Last-Event-ID is not an ID that this system gave out")
		}
		c.last = id
	}
	return c, nil
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *verdict.Error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.config.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.config.MaxBody))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, badInput(http.StatusRequestTimeout, codeBadRequest, "the body did not come in time")
	}
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return nil, badInput(http.StatusRequestEntityTooLarge, codeTooLarge,
			"the body is larger than "+strconv.FormatInt(s.config.MaxBody, 10)+" bytes")
	}
	return nil, badInput(http.StatusBadRequest, codeBadRequest, "the body could not be read to its end")
}

// readPriority takes the asked priority, bounded by the team's row.
func (c *call) readPriority() *verdict.Error {
	c.priority = min(c.team.MaxPriority, defaultPriority)
	text := c.header.Get(relay.PriorityHeader)
	if text == "" {
		return nil
	}
	asked, err := strconv.Atoi(text)
	if err != nil || asked < 0 || asked > table.MaxPriority {
		return badInput(http.StatusBadRequest, codeBadRequest, "Marbleroad-Priority is not a whole number from 0 to 9")
	}
	c.priority = min(asked, c.team.MaxPriority)
	return nil
}

// defaultPriority is taken when the caller names none.
const defaultPriority = 5

// setService fills in what follows from the service's row.
func (c *call) setService(snapshot *view.Snapshot, name string, kind table.ServiceKind, now time.Time) *verdict.Error {
	service, ok := snapshot.Services[name]
	if !ok || service.Kind != kind {
		return badInput(http.StatusNotFound, codeUnknownService, "there is no "+string(kind)+" service named "+strconv.Quote(name))
	}
	c.service = service
	switch mark := c.header.Get(NonIdempotentHeader); mark {
	case "", "no":
		c.once = !service.Idempotent
	case "yes":
		c.once = true
	default:
		return badInput(http.StatusBadRequest, codeBadRequest, "Marbleroad-Non-Idempotent is neither yes nor no")
	}
	return c.readDeadline(now)
}

func (c *call) readDeadline(now time.Time) *verdict.Error {
	c.deadline = now.Add(c.service.Timeout)
	if text := c.header.Get(TimeoutHeader); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil {
			return badInput(http.StatusBadRequest, codeBadRequest, "Marbleroad-Timeout is not a duration such as 1500ms")
		}
		c.deadline = now.Add(timeout)
	}
	if text := c.header.Get(DeadlineHeader); text != "" {
		moment, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return badInput(http.StatusBadRequest, codeBadRequest, "Marbleroad-Deadline is not a moment in RFC 3339")
		}
		// Counted on the monotonic clock from here on.
		c.deadline = now.Add(time.Until(moment))
	}
	if !c.deadline.After(now) {
		return badInput(http.StatusBadRequest, codeDeadlinePast, "the deadline has passed")
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

func (c *call) readModelRequest() (string, *verdict.Error) {
	var m modelRequest
	if err := json.Unmarshal(c.body, &m); err != nil {
		return "", badInput(http.StatusBadRequest, codeBadRequest, "the body is not the JSON object that this path takes")
	}
	if m.Model == "" {
		return "", badInput(http.StatusBadRequest, codeBadRequest, "the body names no model")
	}
	c.stream = m.Stream
	c.prompt = m.Messages
	if len(c.prompt) == 0 {
		c.prompt = m.Prompt
	}
	if len(c.prompt) == 0 {
		return "", badInput(http.StatusBadRequest, codeBadRequest, "the body has neither messages nor prompt")
	}
	return m.Model, nil
}
