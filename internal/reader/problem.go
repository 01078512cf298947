package reader

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault in a file, with the place where it stands.
type Problem struct {
	file  string
	line  int // 1-based; 0 when the whole file is meant
	field string
	text  string
}

// NewProblem returns a fault at a line and field of a file.
func NewProblem(file string, line int, field, text string) Problem {
	return Problem{file: file, line: line, field: field, text: text}
}

// Error formats the problem as file:line: field: text.
func (p Problem) Error() string {
	if p.field == "" {
		return fmt.Sprintf("%s:%d: %s", p.file, p.line, p.text)
	}
	return fmt.Sprintf("%s:%d: field %q: %s", p.file, p.line, p.field, p.text)
}

// Problems is every fault found in one reading. It is an error when not empty.
type Problems struct {
	list []Problem
}

// Add records one more fault.
func (p *Problems) Add(problem Problem) {
	p.list = append(p.list, problem)
}

// Err returns nil when nothing was found.
func (p *Problems) Err() error {
	if len(p.list) == 0 {
		return nil
	}
	return p
}

// Error lists the faults by file and line, one a line.
func (p *Problems) Error() string {
	sort.SliceStable(p.list, func(i, j int) bool {
		if p.list[i].file != p.list[j].file {
			return p.list[i].file < p.list[j].file
		}
		return p.list[i].line < p.list[j].line
	})
	lines := make([]string, 0, len(p.list))
	for _, one := range p.list {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// Merge takes over the faults of another reading. An error of another type
// becomes a fault of the whole file.
func (p *Problems) Merge(file string, err error) {
	switch e := err.(type) {
	case *Problems:
		p.list = append(p.list, e.list...)
	case Problem:
		p.list = append(p.list, e)
	default:
		p.Add(NewProblem(file, 1, "", err.Error()))
	}
}
