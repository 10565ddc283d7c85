// Package textdiff formats the line-by-line difference between two texts for people who edit documents.
package textdiff

import (
	"fmt"
	"strings"
)

// maxTableCells bounds the table for the longest common subsequence. If the differing parts of the texts need a larger
// table, they are shown as replaced as a whole.
const maxTableCells = 4 << 20

// Lines returns the differing lines in hunks, with "-" before lines of the old text and "+" before lines of the new
// text. Each hunk starts with a header that gives its first line number in the old text. The result is empty when the
// texts are equal. Lines for which hide returns true, such as a token, are shown only up to the first colon.
func Lines(oldText, newText string, hide func(line string) bool) string {
	a, b := splitLines(oldText), splitLines(newText)
	first := 0
	for first < len(a) && first < len(b) && a[first] == b[first] {
		first++
	}
	lastA, lastB := len(a), len(b)
	for lastA > first && lastB > first && a[lastA-1] == b[lastB-1] {
		lastA, lastB = lastA-1, lastB-1
	}
	var out strings.Builder
	p := printer{out: &out, hide: hide, oldLine: first, hunkLine: -1}
	p.writeDiff(a[first:lastA], b[first:lastB])
	return out.String()
}

func splitLines(text string) []string {
	text = strings.TrimSuffix(text, "\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// printer writes the difference of two lists of lines as hunks.
type printer struct {
	out      *strings.Builder
	hide     func(string) bool
	oldLine  int // line of the old text that comes next, counted from 0
	hunkLine int // value of oldLine at which the current hunk continues; -1 before the first hunk
}

// writeDiff writes the lines that are not part of a longest common subsequence of a and b.
func (p *printer) writeDiff(a, b []string) {
	if len(a)*len(b) > maxTableCells {
		for _, line := range a {
			p.writeLine("-", line)
		}
		for _, line := range b {
			p.writeLine("+", line)
		}
		return
	}
	common := lcsLengths(a, b)
	for i, j := 0, 0; i < len(a) || j < len(b); {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
			p.oldLine++
		case i < len(a) && (j == len(b) || common[i+1][j] >= common[i][j+1]):
			p.writeLine("-", a[i])
			i++
		default:
			p.writeLine("+", b[j])
			j++
		}
	}
}

// lcsLengths returns a table whose element [i][j] is the length of the longest common subsequence of a[i:] and b[j:].
func lcsLengths(a, b []string) [][]int32 {
	table := make([][]int32, len(a)+1)
	for i := range table {
		table[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
			} else {
				table[i][j] = max(table[i+1][j], table[i][j+1])
			}
		}
	}
	return table
}

// writeLine writes a removed ("-") or added ("+") line, with the header of a new hunk where one starts.
func (p *printer) writeLine(sign, line string) {
	if p.hunkLine != p.oldLine {
		fmt.Fprintf(p.out, "line %d:\n", p.oldLine+1)
	}
	if p.hide != nil && p.hide(line) {
		name, _, _ := strings.Cut(line, ":")
		line = name + ": (hidden)"
	}
	fmt.Fprintf(p.out, "%s %s\n", sign, line)
	if sign == "-" {
		p.oldLine++
	}
	p.hunkLine = p.oldLine
}
