package decoder

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one error in a file, with its line and field.
type Problem struct {
	file    string
	line    int // 1-based; 0 when it concerns the whole file
	field   string
	message string
}

// NewProblem returns a problem at a line and field of a file. An empty field
// means that the problem concerns no single field.
func NewProblem(file string, line int, field, message string) Problem {
	return Problem{file: file, line: line, field: field, message: message}
}

// Error formats the problem as file:line: field "name": message.
func (p Problem) Error() string {
	if p.field == "" {
		return fmt.Sprintf("%s:%d: %s", p.file, p.line, p.message)
	}
	return fmt.Sprintf("%s:%d: field %q: %s", p.file, p.line, p.field, p.message)
}

// Problems is the list of problems found while reading one or more files. It is
// an error when it is not empty.
type Problems struct {
	list []Problem
}

// Add appends a problem.
func (p *Problems) Add(problem Problem) {
	p.list = append(p.list, problem)
}

// Err returns the problems as an error, or nil when there are none.
func (p *Problems) Err() error {
	if len(p.list) == 0 {
		return nil
	}
	return p
}

// Error lists the problems in order of file and line, one per line.
func (p *Problems) Error() string {
	sort.SliceStable(p.list, func(i, j int) bool {
		if p.list[i].file != p.list[j].file {
			return p.list[i].file < p.list[j].file
		}
		return p.list[i].line < p.list[j].line
	})
	lines := make([]string, 0, len(p.list))
	for _, problem := range p.list {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Merge appends the problems in an error. An error of another type becomes a
// problem at line 1 of the file.
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
