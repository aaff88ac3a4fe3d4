package httpcheck

import (
	"unicode"

	"golang.org/x/net/http/httpguts"
)

// headScanner scans the head of a response, behind those of its interim responses, for what net/http accepts and does not
// show: the names of fields of interim responses, and chunks in HTTP/1.0, which it takes for the body.
type headScanner struct {
	// part is the part of the head that the next byte belongs to.
	part headPart
	// lineBytes is the number of bytes of the current line, without line ends.
	lineBytes int
	// status is the beginning of the status line.
	status [statusBytes]byte
	// invalidName is true once the name of a field was no token.
	invalidName bool
	// encodingBytes is the number of bytes of the current line that are those of encodingName, and hasEncoding is true
	// once there was such a field.
	encodingBytes int
	hasEncoding   bool
}

// headPart is a part of the head of a response.
type headPart uint8

const (
	statusLine headPart = iota
	fieldName
	fieldValue
	// headEnded means that the head of the final response has ended.
	headEnded
)

// statusBytes is the length of the version and the status in a status line, such as "HTTP/1.1 200".
const statusBytes = 12

// encodingName is the name of the field that states the framing of a body, in lower case.
const encodingName = "transfer-encoding"

// scan scans the next bytes of a response.
func (s *headScanner) scan(p []byte) {
	for _, b := range p {
		if s.part == headEnded {
			return
		}
		switch b {
		case '\n':
			s.endLine()
		case '\r':
			// A line ends with it, and net/http accepts none within a line.
		default:
			s.add(b)
		}
	}
}

// add scans a byte within a line.
func (s *headScanner) add(b byte) {
	at := s.lineBytes
	s.lineBytes++
	switch {
	case s.part == statusLine:
		if at < statusBytes {
			s.status[at] = b
		}
	case s.part == fieldValue:
	case at == 0 && (b == ' ' || b == '\t'):
		// The line continues the value of the line before.
		s.part = fieldValue
	case b == ':':
		s.invalidName = s.invalidName || at == 0
		s.hasEncoding = s.hasEncoding || (at == len(encodingName) && s.encodingBytes == at)
		s.part = fieldValue
	default:
		s.invalidName = s.invalidName || !httpguts.IsTokenRune(rune(b))
		if at == s.encodingBytes && at < len(encodingName) && unicode.ToLower(rune(b)) == rune(encodingName[at]) {
			s.encodingBytes++
		}
	}
}

// endLine ends a line, and the head if the line is empty.
func (s *headScanner) endLine() {
	empty := s.lineBytes == 0
	s.lineBytes, s.encodingBytes = 0, 0
	switch {
	case !empty && s.part == fieldName:
		// The line has no colon.
		s.invalidName = true
	case !empty:
		s.part = fieldName
	case s.interim():
		*s = headScanner{invalidName: s.invalidName}
	default:
		s.part = headEnded
	}
}

// interim reports whether the head is that of an interim response.
func (s *headScanner) interim() bool {
	status := string(s.status[len("HTTP/1.1 "):])
	return status[0] == '1' && status != "101"
}
