package table

import (
	"encoding/hex"
	"regexp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of the cells' values.
const (
	// MaxPriority is the highest priority of a request; unlike in catalog.Route, higher is served first.
	MaxPriority    = 9
	maxWeight      = 1000
	maxVMsPerGroup = 64
	maxReplicas    = 1000
	// maxSlots bounds requests in flight: the slots of an upstream and the concurrency of a team at an
	// entry.
	maxSlots   = 100000
	maxQueue   = 100000
	maxTimeout = 24 * time.Hour
	// maxRate bounds rates in requests per second, and also the weights of the groups sheet.
	maxRate      = 1e6
	keyHashBytes = 32
)

// namePattern matches the names of rows, and the cells that hold a name.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// CheckName checks the name of a row.
func CheckName(name string) error {
	if !namePattern.MatchString(name) {
		return errors.Wrapf(ErrInvalidCell, "name %q: allowed are 1 to 63 of a-z, 0-9, dot, underscore and hyphen, a letter or digit first", name)
	}
	return nil
}

// Column describes one column of a sheet.
type Column struct {
	Name string
	// Default is the text used for an empty cell.
	Default string
	// Doc describes the column's unit and effect to operators.
	Doc string

	// get formats the cell of a row; set parses a text into it.
	get func(*Row) string
	set func(*Row, string) error
}

// Sheet describes one sheet of the table.
type Sheet struct {
	Name SheetName
	// Doc describes the sheet to operators.
	Doc     string
	Columns []Column

	// hasCells reports whether a row has the cells of this sheet; reset replaces
	// them by empty ones.
	hasCells func(*Row) bool
	reset    func(*Row)
}

// Sheets holds all sheets in display order.
var Sheets = []*Sheet{servicesSheet, teamsSheet, groupsSheet, limitsSheet, vmsSheet}

// Lookup returns the sheet of the given name.
func Lookup(name SheetName) (*Sheet, error) {
	for _, s := range Sheets {
		if s.Name == name {
			return s, nil
		}
	}
	return nil, errors.Wrapf(ErrUnknownSheet, "%q: allowed are services, teams, groups, limits and vms", name)
}

// NewRow returns a row of the sheet whose cells have their columns' defaults, or are empty without one.
func (s *Sheet) NewRow(name string) *Row {
	r := &Row{Sheet: s.Name, Name: name}
	s.reset(r)
	for _, c := range s.Columns {
		if c.Default != "" {
			_ = c.set(r, c.Default)
		}
	}
	return r
}

// Set parses the text into one cell of the row. An empty text sets the column's default.
func (s *Sheet) Set(r *Row, column, text string) error {
	for _, c := range s.Columns {
		if c.Name != column {
			continue
		}
		if text == "" {
			text = c.Default
		}
		return errors.Wrapf(c.set(r, text), "column %s", column)
	}
	return errors.Wrapf(ErrUnknownColumn, "%q in sheet %s", column, s.Name)
}

// Check validates every cell of the row, so that required cells can't be missing. It returns the first error
// with the others attached.
func (s *Sheet) Check(r *Row) error {
	var combined error
	for _, c := range s.Columns {
		err := c.set(r, c.get(r))
		combined = errors.CombineErrors(combined, errors.Wrapf(err, "column %s", c.Name))
	}
	return combined
}

// Cells returns the row's cell texts in column order.
func (r *Row) Cells() []string {
	sheet, err := Lookup(r.Sheet)
	if err != nil || !sheet.hasCells(r) {
		return nil
	}
	out := make([]string, len(sheet.Columns))
	for i, c := range sheet.Columns {
		out[i] = c.get(r)
	}
	return out
}

var servicesSheet = &Sheet{
	Name:     Services,
	Doc:      "What callers can ask for, by name.",
	hasCells: func(r *Row) bool { return r.Service != nil },
	reset:    func(r *Row) { r.Service = &Service{} },
	Columns: []Column{
		{"kind", "", "model or plain.",
			func(r *Row) string { return string(r.Service.Kind) },
			func(r *Row, t string) error {
				return oneOf(t, func(v string) { r.Service.Kind = ServiceKind(v) }, string(Model), string(Plain))
			}},
		{"pool", "", "Pool of VMs that serve a plain service; empty for a model, whose VMs come from the groups sheet.",
			func(r *Row) string { return r.Service.Pool },
			func(r *Row, t string) error { return optionalName(t, &r.Service.Pool) }},
		{"idempotent", "yes", "no: each request runs at most once and is never retried after it may have run.",
			func(r *Row) string { return formatYesNo(r.Service.Idempotent) },
			func(r *Row, t string) error { return parseYesNo(t, &r.Service.Idempotent) }},
		{"slots", "0", "Requests in flight at one upstream over all entries; 0 takes the upstream's own word.",
			func(r *Row) string { return strconv.Itoa(r.Service.Slots) },
			func(r *Row, t string) error { return parseInt(t, 0, maxSlots, &r.Service.Slots) }},
		{"queue", "100", "Requests that may wait at one entry; the least worthy is refused when it is full.",
			func(r *Row) string { return strconv.Itoa(r.Service.Queue) },
			func(r *Row, t string) error { return parseInt(t, 0, maxQueue, &r.Service.Queue) }},
		{"timeout", "60s", "Deadline of a request that names none, a duration such as 500ms or 2m.",
			func(r *Row) string { return r.Service.Timeout.String() },
			func(r *Row, t string) error {
				return parseDuration(t, time.Millisecond, maxTimeout, &r.Service.Timeout)
			}},
	},
}

var teamsSheet = &Sheet{
	Name:     Teams,
	Doc:      "Who may call, with what worth and up to what limit.",
	hasCells: func(r *Row) bool { return r.Team != nil },
	reset:    func(r *Row) { r.Team = &Team{} },
	Columns: []Column{
		{"key_sha256", "", "Hex SHA-256 of the team's bearer key; the key itself is never stored.",
			func(r *Row) string { return r.Team.KeySHA256 },
			func(r *Row, t string) error { return parseKeyHash(t, &r.Team.KeySHA256) }},
		{"weight", "1", "Share relative to other teams of the same priority, 1 to 1000.",
			func(r *Row) string { return strconv.Itoa(r.Team.Weight) },
			func(r *Row, t string) error { return parseInt(t, 1, maxWeight, &r.Team.Weight) }},
		{"max_priority", "5", "Highest priority that the team may ask for, 0 to 9; higher is served first.",
			func(r *Row) string { return strconv.Itoa(r.Team.MaxPriority) },
			func(r *Row, t string) error { return parseInt(t, 0, MaxPriority, &r.Team.MaxPriority) }},
		{"rate", "0", "Requests per second over all entries; 0 is no limit.",
			func(r *Row) string { return formatFloat(r.Team.Rate) },
			func(r *Row, t string) error { return parseFloat(t, maxRate, &r.Team.Rate) }},
		{"concurrency", "0", "Requests in flight at one entry; 0 is no limit.",
			func(r *Row) string { return strconv.Itoa(r.Team.Concurrency) },
			func(r *Row, t string) error { return parseInt(t, 0, maxSlots, &r.Team.Concurrency) }},
	},
}

var groupsSheet = &Sheet{
	Name:     Groups,
	Doc:      "Replicas of model services, and what their downtime and stranded VMs cost.",
	hasCells: func(r *Row) bool { return r.Group != nil },
	reset:    func(r *Row) { r.Group = &Group{} },
	Columns: []Column{
		{"service", "", "Model service that the replicas serve.",
			func(r *Row) string { return r.Group.Service },
			func(r *Row, t string) error { return requiredName(t, &r.Group.Service) }},
		{"failure_domain", "", "Failure domain of the VMs.",
			func(r *Row) string { return r.Group.FailureDomain },
			func(r *Row, t string) error { return requiredName(t, &r.Group.FailureDomain) }},
		{"fabric", "", "Fabric domain of the VMs; a replica never spans two.",
			func(r *Row) string { return r.Group.Fabric },
			func(r *Row, t string) error { return requiredName(t, &r.Group.Fabric) }},
		{"pool", "", "Pool of the membership list that the VMs come from.",
			func(r *Row) string { return r.Group.Pool },
			func(r *Row, t string) error { return requiredName(t, &r.Group.Pool) }},
		{"vms", "8", "VMs in one replica, 1 to 64.",
			func(r *Row) string { return strconv.Itoa(r.Group.VMs) },
			func(r *Row, t string) error { return parseInt(t, 1, maxVMsPerGroup, &r.Group.VMs) }},
		{"replicas", "1", "Replicas wanted, 0 to 1000.",
			func(r *Row) string { return strconv.Itoa(r.Group.Replicas) },
			func(r *Row, t string) error { return parseInt(t, 0, maxReplicas, &r.Group.Replicas) }},
		{"downtime_weight", "1", "Cost of one replica down for one second.",
			func(r *Row) string { return formatFloat(r.Group.DowntimeWeight) },
			func(r *Row, t string) error { return parseFloat(t, maxRate, &r.Group.DowntimeWeight) }},
		{"stranded_weight", "0.1", "Cost of one healthy VM in an incomplete replica for one second.",
			func(r *Row) string { return formatFloat(r.Group.StrandedWeight) },
			func(r *Row, t string) error { return parseFloat(t, maxRate, &r.Group.StrandedWeight) }},
		{"load_time", "60s", "Time for one VM to load its part of the model.",
			func(r *Row) string { return r.Group.LoadTime.String() },
			func(r *Row, t string) error { return parseDuration(t, 0, maxTimeout, &r.Group.LoadTime) }},
	},
}

var limitsSheet = &Sheet{
	Name:     Limits,
	Doc:      "A team's limit at one service, besides the team's own.",
	hasCells: func(r *Row) bool { return r.Limit != nil },
	reset:    func(r *Row) { r.Limit = &Limit{} },
	Columns: []Column{
		{"team", "", "Team that the limit holds for.",
			func(r *Row) string { return r.Limit.Team },
			func(r *Row, t string) error { return requiredName(t, &r.Limit.Team) }},
		{"service", "", "Service that the limit holds at.",
			func(r *Row) string { return r.Limit.Service },
			func(r *Row, t string) error { return requiredName(t, &r.Limit.Service) }},
		{"rate", "0", "Requests per second over all entries; 0 is no limit.",
			func(r *Row) string { return formatFloat(r.Limit.Rate) },
			func(r *Row, t string) error { return parseFloat(t, maxRate, &r.Limit.Rate) }},
		{"concurrency", "0", "Requests in flight at one entry; 0 is no limit.",
			func(r *Row) string { return strconv.Itoa(r.Limit.Concurrency) },
			func(r *Row, t string) error { return parseInt(t, 0, maxSlots, &r.Limit.Concurrency) }},
	},
}

var vmsSheet = &Sheet{
	Name:     VMs,
	Doc:      "Orders for single upstream VMs.",
	hasCells: func(r *Row) bool { return r.VM != nil },
	reset:    func(r *Row) { r.VM = &VM{} },
	Columns: []Column{
		{"drain", "no", "yes: the VM gets no new work and its group is put together again without it.",
			func(r *Row) string { return formatYesNo(r.VM.Drain) },
			func(r *Row, t string) error { return parseYesNo(t, &r.VM.Drain) }},
	},
}

// The functions below parse the text of a cell into dest, and return ErrInvalidCell if the text is not valid.

func oneOf(text string, set func(string), allowed ...string) error {
	for _, a := range allowed {
		if text == a {
			set(text)
			return nil
		}
	}
	return errors.Wrapf(ErrInvalidCell, "%q: allowed are %v", text, allowed)
}

func requiredName(text string, dest *string) error {
	if err := CheckName(text); err != nil {
		return err
	}
	*dest = text
	return nil
}

func optionalName(text string, dest *string) error {
	if text == "" {
		*dest = ""
		return nil
	}
	return requiredName(text, dest)
}

func formatYesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

func parseYesNo(text string, dest *bool) error {
	return oneOf(text, func(v string) { *dest = v == "yes" }, "yes", "no")
}

func parseInt(text string, low, high int, dest *int) error {
	v, err := strconv.Atoi(text)
	if err != nil || v < low || v > high {
		return errors.Wrapf(ErrInvalidCell, "%q: allowed is a whole number from %d to %d", text, low, high)
	}
	*dest = v
	return nil
}

func formatFloat(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// parseFloat parses a number from 0 to high. It rejects NaN.
func parseFloat(text string, high float64, dest *float64) error {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v <= high) {
		return errors.Wrapf(ErrInvalidCell, "%q: allowed is a number from 0 to %g", text, high)
	}
	*dest = v
	return nil
}

func parseDuration(text string, low, high time.Duration, dest *time.Duration) error {
	v, err := time.ParseDuration(text)
	if err != nil || v < low || v > high {
		return errors.Wrapf(ErrInvalidCell, "%q: allowed is a duration from %s to %s, such as 500ms or 2m", text, low, high)
	}
	*dest = v
	return nil
}

// parseKeyHash accepts hex digits of either case and keeps them as they are.
func parseKeyHash(text string, dest *string) error {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != keyHashBytes {
		return errors.Wrapf(ErrInvalidCell, "the value: allowed is a SHA-256 in 64 hex digits")
	}
	*dest = text
	return nil
}
