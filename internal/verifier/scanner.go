package verifier

import (
	"strings"

	"github.com/pkg/errors"
)

const (
	encodingField = "transfer-encoding:"
	oldVersion    = "HTTP/1.0 "
)

// HeadScanner finds in the bytes of a connection what the HTTP library hides of the head of a
// response: it ignores and removes a Transfer-Encoding in HTTP/1.0, which makes the framing
// faulty (RFC 9112, section 6.1). The zero value expects a head. It is not safe for concurrent
// use.
type HeadScanner struct {
	ended   bool // the bytes that follow are not looked at
	old     bool // the version is HTTP/1.0
	interim bool // the head of another response follows
	lines   int  // whole ones of the head
	blank   bool // the line has nothing but blanks
	length  int  // of the line
	// start is the beginning of the line, up to length bytes of it.
	start [len(encodingField)]byte
}

// Ended reports whether a head has ended and no other is expected.
func (s *HeadScanner) Ended() bool { return s.ended }

// Expect makes the scanner expect the head of the next response.
func (s *HeadScanner) Expect() { *s = HeadScanner{} }

// Scan takes the next bytes of the connection and returns how many of them can be passed on.
// With ErrInvalid these are the ones up to the name of the faulty field.
func (s *HeadScanner) Scan(p []byte) (int, error) {
	for i, b := range p {
		if s.ended {
			break
		}
		if b == '\n' {
			s.endLine()
			continue
		}
		s.blank = (s.length == 0 || s.blank) && (b == ' ' || b == '\t' || b == '\r')
		if s.length < len(s.start) {
			s.start[s.length] = b
		}
		s.length++
		if s.old && s.length == len(s.start) && strings.EqualFold(string(s.start[:]), encodingField) {
			s.ended = true
			return i, errors.Wrap(ErrInvalid, "Transfer-Encoding in HTTP/1.0")
		}
	}
	return len(p), nil
}

// endLine takes the end of a line.
func (s *HeadScanner) endLine() {
	line := string(s.start[:min(s.length, len(s.start))])
	empty := s.length == 0 || s.blank
	switch {
	case s.lines == 0:
		s.old = strings.HasPrefix(line, oldVersion)
		status := strings.TrimLeft(line[min(len(line), len(oldVersion)):], " ")
		s.interim = strings.HasPrefix(status, "1")
		s.ended = !s.old && !s.interim
	case empty && s.interim:
		s.Expect()
		return
	case empty:
		s.ended = true
	}
	s.lines++
	s.length, s.blank = 0, false
}
