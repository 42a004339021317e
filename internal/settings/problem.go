package settings

import (
	"fmt"
	"strings"
)

// Problem describes one error in a file.
type Problem struct {
	File string
	// Line is the line number, starting at 1. 0 means that the problem concerns the whole file.
	Line    int
	Message string
	// Remedy tells the operator what to change.
	Remedy string
}

// Error implements error.
func (p *Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s (%s)", p.File, p.Message, p.Remedy)
	}
	return fmt.Sprintf("%s:%d: %s (%s)", p.File, p.Line, p.Message, p.Remedy)
}

// Problems is the error type of Decode and of all functions that validate settings. It lists the problems in the order in
// which they were found.
type Problems []*Problem

// Error implements error. The text has one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// maxProblems limits the number of reported problems. A file that is not a settings file at all could have one in each
// line.
const maxProblems = 50

// report collects the problems of one file.
type report struct {
	file     string
	problems Problems
	lines    map[string]int // line numbers of the fields that the file sets, by path
}

func newReport(file string) *report {
	return &report{file: file, lines: map[string]int{}}
}

func (r *report) add(line int, remedy, format string, args ...any) {
	if r.isFull() {
		return
	}
	r.problems = append(r.problems, &Problem{File: r.file, Line: line, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (r *report) isFull() bool { return len(r.problems) >= maxProblems }

// addAt adds a problem addAt the line of the field with the given path, or of the nearest enclosing field.
func (r *report) addAt(path, remedy, format string, args ...any) {
	r.add(r.lineForPath(path), remedy, format, args...)
}

// lineForPath returns the line of the field with the given path, or of the nearest enclosing field that the file sets, or 0.
func (r *report) lineForPath(path string) int {
	for path != "" {
		if line, known := r.lines[path]; known {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

// err returns the collected problems, or nil if there are none.
func (r *report) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return r.problems
}
