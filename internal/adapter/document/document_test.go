package document_test

import (
	"strings"
	"testing"

	"skylarkstall/examples"
	"skylarkstall/internal/adapter/document"
	"skylarkstall/internal/fault"
)

const valid = `version: 1
team: a
token: t
weight: 1
kinds: [{name: k, class: request, size: {slots: 1}, deadline: 1s}]
`

// TestFaults checks that the error for an invalid document lists all invalid fields at once, each with its line.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		source string
		want   []string
	}{
		"several invalid fields": {
			strings.NewReplacer("weight: 1", "weight: 0", "1s", "soon").Replace(valid),
			[]string{"line 4: weight", "line 5: kinds[0].deadline"},
		},
		"unknown field":  {valid + "quotas: {}\n", []string{"line 6", "quotas"}},
		"reserved name":  {strings.Replace(valid, "team: a", "team: _cell", 1), []string{"line 2: team", "'_'"}},
		"negative quota": {valid + "quota: {cores: -1}\n", []string{"line 6: quota.cores"}},
		"overflow":       {valid + "quota: {memory_mib: 9223372036854775807}\n", []string{"line 6: quota.memory_mib: is out of range"}},
		"not a number":   {valid + "quota: {cores: .nan}\n", []string{"line 6: quota.cores: is out of range"}},
		"empty":          {"", []string{"the document is empty"}},
		"two documents":  {valid + "---\n" + valid, []string{"more than one document"}},
		"unknown class":  {strings.Replace(valid, "class: request", "class: night", 1), []string{"line 5: kinds[0].class", "night"}},
	}
	for name, test := range tests {
		_, err := document.Decode([]byte(test.source))
		if !fault.Is(err, fault.Invalid) {
			t.Errorf("%s: %v; want Invalid", name, err)
			continue
		}
		for _, want := range test.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: error %q does not contain %q", name, err, want)
			}
		}
	}
}

// FuzzDocument checks that no document crashes the decoder, which would end every process of the cell once the
// document is stored, and that every accepted document is valid.
func FuzzDocument(f *testing.F) {
	f.Add(examples.Vembanad)
	f.Add([]byte(valid))
	f.Add([]byte(valid + "quota: {cores: .inf, memory_mib: -9223372036854775808}\n"))
	f.Add([]byte("version: 1\nquotas:\n  a: {cores: 1e300, slots: 3}\n"))
	f.Fuzz(func(t *testing.T, source []byte) {
		doc, err := document.Decode(source)
		switch {
		case err == nil && len(doc.Validate()) > 0:
			t.Errorf("invalid document accepted: %v", doc.Validate())
		case err != nil && !fault.Is(err, fault.Invalid) && !fault.Is(err, fault.TooLarge):
			t.Errorf("refused with %v: %v; want Invalid or TooLarge", fault.KindOf(err), err)
		}
		cell, err := document.DecodeCellQuotas(source)
		if err == nil && len(cell.Validate()) > 0 {
			t.Errorf("invalid cell quotas accepted: %v", cell.Validate())
		}
	})
}
