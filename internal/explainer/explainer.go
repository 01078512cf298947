// Package explainer finds in the joined logs of hosts what became of one
// request, and what its host had come to believe before it.
package explainer

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// Before is how long before a request changes of belief are shown.
	Before = 10 * time.Second

	maxLine   = 1 << 20 // bytes
	timeForm  = "0102 15:04:05.000000"
	requested = "request"
)

// Line is one line of a host's log.
type Line struct {
	host    string
	at      time.Time // without a year
	message string
	fields  map[string]string
	text    string
}

var (
	head  = regexp.MustCompile(`(\S+) [IEW](\d{4} \d\d:\d\d:\d\d\.\d{6})\s+\d+ \S+\] (.*)$`)
	field = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// ParseLine reads a line, and reports whether it is one of a host's log. What
// stands before the host's name, such as a collector's time, is left out.
func ParseLine(text string) (Line, bool) {
	parts := head.FindStringSubmatch(text)
	if parts == nil {
		return Line{}, false
	}
	at, err := time.Parse(timeForm, parts[2])
	if err != nil {
		return Line{}, false
	}
	message, rest, _ := strings.Cut(strings.TrimPrefix(parts[3], `"`), `"`)
	line := Line{host: parts[1], at: at, message: message, fields: map[string]string{}, text: parts[3]}
	for _, match := range field.FindAllStringSubmatch(rest, -1) {
		value, err := strconv.Unquote(match[2])
		if err != nil {
			value = match[2]
		}
		line.fields[match[1]] = value
	}
	return line, true
}

// Explain writes what the log tells of a request.
func Explain(log io.Reader, id string, out io.Writer) error {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if line, ok := ParseLine(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "log could not be read")
	}
	found := false
	for _, line := range lines {
		if line.message == requested && line.fields["id"] == id {
			found = true
			if err := explainOne(lines, line, out); err != nil {
				return err
			}
		}
	}
	if !found {
		return errors.Errorf("no line tells of request %q", id)
	}
	return nil
}

func explainOne(lines []Line, request Line, out io.Writer) error {
	f := request.fields
	var b strings.Builder
	fmt.Fprintf(&b, "request %s at host %s, %s\n", f["id"], request.host, request.at.Format("15:04:05.000"))
	fmt.Fprintf(&b, "  outcome    %s, status %s after %s %s\n", f["outcome"], f["status"], f["took"], f["reason"])
	fmt.Fprintf(&b, "  admitted   route %q workspace %q service %q object %q\n", f["route"], f["workspace"], f["service"], f["object"])
	fmt.Fprintf(&b, "  believed   configuration %s for %s, host %s\n", f["config"], f["configAge"], f["phase"])
	fmt.Fprintf(&b, "  placed     rank %s, load %s, expected %s\n", f["rank"], f["load"], f["expected"])
	for i, try := range strings.Split(f["tries"], " | ") {
		if try != "" {
			fmt.Fprintf(&b, "  try %d      %s\n", i+1, try)
		}
	}
	for _, line := range lines {
		age := request.at.Sub(line.at)
		if line.host == request.host && line.message != requested && age >= 0 && age <= Before {
			fmt.Fprintf(&b, "  %6.3fs before: %s\n", age.Seconds(), line.text)
		}
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "explanation could not be written")
}
