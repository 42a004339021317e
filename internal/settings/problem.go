package settings

import (
	"fmt"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	File string
	// Line counts from 1; 0 means the file as a whole.
	Line    int
	Message string
	// Remedy says what to change.
	Remedy string
}

// Error implements error.
func (p *Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s (%s)", p.File, p.Message, p.Remedy)
	}
	return fmt.Sprintf("%s:%d: %s (%s)", p.File, p.Line, p.Message, p.Remedy)
}

// Problems is the error that Decode and Load return: every fault found, in the order of the file.
type Problems []*Problem

// Error implements error. It gives one problem per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// maxProblems ends the search in a file of another kind, which would yield one problem per line.
const maxProblems = 50

// report collects the problems of one file and the lines of the fields that were set.
type report struct {
	file     string
	problems Problems
	lines    map[string]int
}

func newReport(file string) *report {
	return &report{file: file, lines: map[string]int{}}
}

func (r *report) add(line int, remedy, format string, args ...any) {
	if r.full() {
		return
	}
	r.problems = append(r.problems, &Problem{File: r.file, Line: line, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (r *report) full() bool { return len(r.problems) >= maxProblems }

// at adds a problem at the line of the field with the given path, or of the nearest enclosing field.
func (r *report) at(path, remedy, format string, args ...any) {
	r.add(r.line(path), remedy, format, args...)
}

func (r *report) line(path string) int {
	for path != "" {
		if line, known := r.lines[path]; known {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

func (r *report) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return r.problems
}
