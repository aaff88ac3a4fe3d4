package settings

import (
	"encoding/hex"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/fairshare"
)

// namePattern matches the values that allowedName describes; the first character must be a letter or a
// digit.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func parseName(text string, into *string) error {
	if !namePattern.MatchString(text) {
		return errors.New("not a name")
	}
	*into = text
	return nil
}

// parseAddress accepts an IP address and port, and no host name.
func parseAddress(text string, into *string) error {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.New("not an IP number and port (host names are not looked up)")
	}
	if parsed.Port() == 0 {
		return errors.New("port 0")
	}
	*into = parsed.String()
	return nil
}

func parseAddresses(text string, into *[]string) error {
	for _, part := range strings.Split(text, ",") {
		var one string
		if err := parseAddress(strings.TrimSpace(part), &one); err != nil {
			return err
		}
		*into = append(*into, one)
	}
	return nil
}

func parseHTTPURL(text string, into *string) error {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.New("not an http URL")
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return errors.New("host is not an IP number (host names are not looked up)")
	}
	*into = text
	return nil
}

func parseTraceTarget(text string, into *string) error {
	if text == "none" || (strings.HasPrefix(text, "file:") && len(text) > len("file:")) {
		*into = text
		return nil
	}
	return parseHTTPURL(text, into)
}

func parseDuration(text string, into *time.Duration) error {
	v, err := time.ParseDuration(text)
	if err != nil {
		return errors.New("not a duration with a unit")
	}
	if v <= 0 {
		return errors.New("not positive")
	}
	*into = v
	return nil
}

func parseDurationOrZero(text string, into *time.Duration) error {
	v, err := time.ParseDuration(text)
	if err != nil {
		return errors.New("not a duration with a unit")
	}
	if v < 0 {
		return errors.New("negative")
	}
	*into = v
	return nil
}

func parseAmount(text string, into *float64) error {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 1) {
		return errors.New("not a number in range")
	}
	*into = v
	return nil
}

func parseCountOrZero(text string, into *int) error {
	if text == "0" {
		*into = 0
		return nil
	}
	return parseCount(text, into)
}

// parseDescriptors parses a number of descriptors, 0 for the system's limit. With fewer than minDescriptors nothing is left for
// the servers.
func parseDescriptors(text string, into *int) error {
	const minDescriptors, maxDescriptors = 64, 1 << 24
	v, err := strconv.Atoi(text)
	if err != nil || v < 0 || v > maxDescriptors || (v > 0 && v < minDescriptors) {
		return errors.New("not a count in range")
	}
	*into = v
	return nil
}

func parseByteCount(text string, into *int64) error {
	const maxBytes = 64 << 20
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 1 || v > maxBytes {
		return errors.New("not a count in range")
	}
	*into = v
	return nil
}

// parseCount parses a whole number from 1 to 1000.
func parseCount(text string, into *int) error {
	const maxCount = 1000
	v, err := strconv.Atoi(text)
	if err != nil || v < 1 || v > maxCount {
		return errors.New("not a count in range")
	}
	*into = v
	return nil
}

func parseFraction(text string, into *float64) error {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v <= 1) {
		return errors.New("not a number in range")
	}
	*into = v
	return nil
}

func parseChoice(text string, into *string, allowed ...string) error {
	for _, a := range allowed {
		if text == a {
			*into = text
			return nil
		}
	}
	return errors.New("not one of the allowed words")
}

func parseYesNo(text string, into *bool) error {
	var word string
	if err := parseChoice(text, &word, "yes", "no"); err != nil {
		return err
	}
	*into = word == "yes"
	return nil
}

func parseFile(text string, into *string) error {
	*into = text
	return nil
}

func parseSHA256(text string, into *string) error {
	const size = 32
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != size {
		return errors.New("not a SHA-256")
	}
	*into = strings.ToLower(text)
	return nil
}

// parseWeights parses pairs of names and weights above 0.
func parseWeights(text string, into *map[string]float64) error {
	var pairs map[string]string
	if err := parsePairs(text, &pairs); err != nil {
		return err
	}
	out := make(map[string]float64, len(pairs))
	for name, value := range pairs {
		weight, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(weight) || math.IsInf(weight, 0) || weight <= 0 {
			return errors.Newf("the value of %s is not a number above 0", name)
		}
		out[name] = weight
	}
	*into = out
	return nil
}

// maxReserve bounds the sum of the reserved fractions, so that some room is left for routes without a reserve.
const maxReserve = 0.9

// maxReservedRoutes bounds the number of routes with a reserve. Each decision considers all of them, and must not
// take longer with more; it equals fairshare.MaxRoutes.
const maxReservedRoutes = fairshare.MaxRoutes

// parseReserve parses pairs of names and fractions above 0, whose sum is at most maxReserve.
func parseReserve(text string, into *map[string]float64) error {
	var out map[string]float64
	if err := parseWeights(text, &out); err != nil {
		return err
	}
	if len(out) > maxReservedRoutes {
		return errors.Newf("%d routes are named; at most %d can have a reserve", len(out), maxReservedRoutes)
	}
	sum := 0.0
	for _, fraction := range out {
		sum += fraction
	}
	if sum > maxReserve {
		return errors.Newf("the sum of the fractions is %.2f; at most %.1f can be reserved", sum, maxReserve)
	}
	*into = out
	return nil
}

// parsePairs parses pairs of names with an equals sign between them.
func parsePairs(text string, into *map[string]string) error {
	out := make(map[string]string)
	for _, pair := range strings.Fields(text) {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || name == "" || value == "" {
			return errors.Newf("%q is not a pair of names with = between them", pair)
		}
		if out[name] != "" {
			return errors.Newf("%q is set twice", name)
		}
		out[name] = value
	}
	*into = out
	return nil
}
