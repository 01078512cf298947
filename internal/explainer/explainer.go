// Package explainer finds in the merged logs of hosts how one request was handled,
// and which state its host logged shortly before.
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
	// lookback is how long before a request the other log lines of its host are shown.
	lookback = 10 * time.Second

	maxLine        = 1 << 20 // bytes
	timeLayout     = "0102 15:04:05.000000"
	requestMessage = "request"
)

// logLine is one line of a host's log.
type logLine struct {
	host    string
	time    time.Time // has no year, because log lines have none
	message string
	fields  map[string]string
	text    string
}

var (
	linePattern  = regexp.MustCompile(`(\S+) [IEW](\d{4} \d\d:\d\d:\d\d\.\d{6})\s+\d+ \S+\] (.*)$`)
	fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// parseLine parses a line, and reports whether it is a log line of a host. Text
// before the host's name, such as the timestamp of a log collector, is ignored.
func parseLine(text string) (logLine, bool) {
	parts := linePattern.FindStringSubmatch(text)
	if parts == nil {
		return logLine{}, false
	}
	at, err := time.Parse(timeLayout, parts[2])
	if err != nil {
		return logLine{}, false
	}
	message, rest, _ := strings.Cut(strings.TrimPrefix(parts[3], `"`), `"`)
	line := logLine{host: parts[1], time: at, message: message, fields: map[string]string{}, text: parts[3]}
	for _, match := range fieldPattern.FindAllStringSubmatch(rest, -1) {
		value, err := strconv.Unquote(match[2])
		if err != nil {
			value = match[2]
		}
		line.fields[match[1]] = value
	}
	return line, true
}

// Explain writes how the request with an id was handled, according to the merged
// logs. It is an error when no line of the logs is about that request.
func Explain(log io.Reader, id string, out io.Writer) error {
	var lines []logLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "log could not be read")
	}
	found := false
	for _, line := range lines {
		if line.message == requestMessage && line.fields["id"] == id {
			found = true
			if err := explainRequest(lines, line, out); err != nil {
				return err
			}
		}
	}
	if !found {
		return errors.Errorf("no line tells of request %q", id)
	}
	return nil
}

func explainRequest(lines []logLine, request logLine, out io.Writer) error {
	f := request.fields
	var b strings.Builder
	fmt.Fprintf(&b, "request %s at host %s, %s\n", f["id"], request.host, request.time.Format("15:04:05.000"))
	fmt.Fprintf(&b, "  outcome    %s, status %s after %s %s\n", f["outcome"], f["status"], f["took"], f["reason"])
	fmt.Fprintf(&b, "  admitted   route %q workspace %q service %q object %q\n", f["route"], f["workspace"], f["service"], f["object"])
	fmt.Fprintf(&b, "  believed   configuration %s for %s, host %s\n", f["config"], f["configAge"], f["phase"])
	fmt.Fprintf(&b, "  placed     rank %s, load %s, expected %s\n", f["rank"], f["load"], f["expected"])
	for i, attempt := range strings.Split(f["tries"], " | ") {
		if attempt != "" {
			fmt.Fprintf(&b, "  try %d      %s\n", i+1, attempt)
		}
	}
	for _, line := range lines {
		age := request.time.Sub(line.time)
		if line.host == request.host && line.message != requestMessage && age >= 0 && age <= lookback {
			fmt.Fprintf(&b, "  %6.3fs before: %s\n", age.Seconds(), line.text)
		}
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "explanation could not be written")
}
