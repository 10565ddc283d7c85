// Package textdiff shows the difference between two texts by lines, for people who edit documents.
package textdiff

import (
	"fmt"
	"strings"
)

// maxCells bounds the table of the comparison: texts that differ in more lines are shown as replaced as a whole.
const maxCells = 4 << 20

// Lines returns the lines that differ, "-" before those of the old text and "+" before those of the new one, each run
// under the line of the old text where it begins. It is empty when the texts are equal. Lines that hide names, such as
// a token, are shown without what follows the first colon.
func Lines(old, text string, hide func(line string) bool) string {
	a, b := split(old), split(text)
	first := 0
	for first < len(a) && first < len(b) && a[first] == b[first] {
		first++
	}
	lastA, lastB := len(a), len(b)
	for lastA > first && lastB > first && a[lastA-1] == b[lastB-1] {
		lastA, lastB = lastA-1, lastB-1
	}
	var out strings.Builder
	print := printer{out: &out, hide: hide, line: first, open: -1}
	print.middle(a[first:lastA], b[first:lastB])
	return out.String()
}

func split(text string) []string {
	text = strings.TrimSuffix(text, "\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// printer writes the difference of two lists of lines.
type printer struct {
	out  *strings.Builder
	hide func(string) bool
	line int // of the old text
	open int // line of the old text at which the open run goes on; -1 when none is open
}

func (p *printer) middle(a, b []string) {
	if len(a)*len(b) > maxCells {
		for _, line := range a {
			p.write("-", line)
		}
		for _, line := range b {
			p.write("+", line)
		}
		return
	}
	common := lengths(a, b)
	for i, j := 0, 0; i < len(a) || j < len(b); {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
			p.line++
		case i < len(a) && (j == len(b) || common[i+1][j] >= common[i][j+1]):
			p.write("-", a[i])
			i++
		default:
			p.write("+", b[j])
			j++
		}
	}
}

// lengths returns the length of the longest common subsequence of a[i:] and b[j:].
func lengths(a, b []string) [][]int32 {
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

func (p *printer) write(sign, line string) {
	if p.open != p.line {
		fmt.Fprintf(p.out, "line %d:\n", p.line+1)
	}
	if p.hide != nil && p.hide(line) {
		name, _, _ := strings.Cut(line, ":")
		line = name + ": (hidden)"
	}
	fmt.Fprintf(p.out, "%s %s\n", sign, line)
	if sign == "-" {
		p.line++
	}
	p.open = p.line
}
