// Package document reads a team's document from YAML.
package document

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/team"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// MaxSize is the largest document in bytes.
const MaxSize = 256 << 10

type document struct {
	Version int    `yaml:"version"`
	Team    string `yaml:"team"`
	Token   string `yaml:"token"`
	Weight  int    `yaml:"weight"`
	Quota   size   `yaml:"quota"`
	Kinds   []kind `yaml:"kinds"`
}

type kind struct {
	Name       string `yaml:"name"`
	Class      string `yaml:"class"`
	Size       size   `yaml:"size"`
	Repeatable bool   `yaml:"repeatable"`
	Expected   string `yaml:"expected"`
	Deadline   string `yaml:"deadline"`
	Retries    int    `yaml:"retries"`
	Spread     string `yaml:"spread"`
	Region     string `yaml:"region"`
}

type size struct {
	Cores        float64 `yaml:"cores"`
	MemoryMiB    int64   `yaml:"memory_mib"`
	Accelerators int64   `yaml:"accelerators"`
	Slots        int64   `yaml:"slots"`
}

// Largest counts that a document may name; they keep sums of many sizes far from an overflow.
const (
	maxCores     = 1e9
	maxMemoryMiB = 1 << 40
	maxCount     = 1 << 40
)

// vector converts the counts. Those that are out of range become faults below the path.
func (s size) vector(path string) (resource.Vector, []team.FieldError) {
	var faults []team.FieldError
	bound := func(field string, outside bool) {
		if outside {
			faults = append(faults, team.FieldError{Field: path + "." + field, Message: "is out of range"})
		}
	}
	bound("cores", !(s.Cores >= -maxCores && s.Cores <= maxCores)) // false for a value that is not a number
	bound("memory_mib", s.MemoryMiB < -maxMemoryMiB || s.MemoryMiB > maxMemoryMiB)
	bound("accelerators", s.Accelerators < -maxCount || s.Accelerators > maxCount)
	bound("slots", s.Slots < -maxCount || s.Slots > maxCount)
	if len(faults) > 0 {
		return resource.Vector{Slots: 1}, faults
	}
	return resource.Vector{
		MilliCores: int64(math.Round(s.Cores * 1000)), MemoryBytes: s.MemoryMiB << 20,
		Accelerators: s.Accelerators, Slots: s.Slots,
	}, nil
}

// cell is the schema of the document of cell quotas.
type cell struct {
	Version int             `yaml:"version"`
	Quotas  map[string]size `yaml:"quotas"`
}

// Decode reads a document and checks it. It fails with Invalid or TooLarge; the error names every fault with its line.
func Decode(source []byte) (team.Document, error) {
	var raw document
	if err := decodeOne(source, &raw); err != nil {
		return team.Document{}, err
	}
	doc, faults := convert(raw)
	faults = append(faults, doc.Validate()...)
	if len(faults) > 0 {
		return team.Document{}, faultsError(source, faults)
	}
	return doc, nil
}

// DecodeCellQuotas reads the document of cell quotas, in the same way.
func DecodeCellQuotas(source []byte) (team.CellQuotas, error) {
	var raw cell
	if err := decodeOne(source, &raw); err != nil {
		return team.CellQuotas{}, err
	}
	out := team.CellQuotas{Version: raw.Version, Quotas: map[ident.TeamID]resource.Vector{}}
	var faults []team.FieldError
	for name, quota := range raw.Quotas {
		vector, bad := quota.vector("quotas." + name)
		out.Quotas[ident.TeamID(name)] = vector
		faults = append(faults, bad...)
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].Field < faults[j].Field })
	faults = append(faults, out.Validate()...)
	if len(faults) > 0 {
		return team.CellQuotas{}, faultsError(source, faults)
	}
	return out, nil
}

// decodeOne reads exactly one YAML document without unknown fields.
func decodeOne(source []byte, raw any) error {
	if len(source) > MaxSize {
		return fault.New(fault.TooLarge, "the document has %d bytes; the limit is %d", len(source), MaxSize)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(source))
	decoder.KnownFields(true)
	if err := decoder.Decode(raw); err != nil {
		return syntaxError(err)
	}
	if err := decoder.Decode(new(any)); !errors.Is(err, io.EOF) {
		return fault.New(fault.Invalid, "the file has more than one document")
	}
	return nil
}

func syntaxError(err error) error {
	if errors.Is(err, io.EOF) {
		return fault.New(fault.Invalid, "the document is empty")
	}
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	message = strings.ReplaceAll(message, "unmarshal errors:\n  ", "")
	message = strings.ReplaceAll(message, "\n  ", "; ")
	message = strings.ReplaceAll(message, " in type document.", " in ")
	return fault.New(fault.Invalid, "%s", message)
}

func convert(raw document) (team.Document, []team.FieldError) {
	quota, faults := raw.Quota.vector("quota")
	doc := team.Document{
		Version: raw.Version, Team: ident.TeamID(raw.Team), Token: raw.Token, Weight: raw.Weight, Quota: quota,
	}
	for i, k := range raw.Kinds {
		converted, bad := convertKind(fmt.Sprintf("kinds[%d]", i), k)
		doc.Kinds = append(doc.Kinds, converted)
		faults = append(faults, bad...)
	}
	return doc, faults
}

func convertKind(path string, k kind) (team.Kind, []team.FieldError) {
	vector, faults := k.Size.vector(path + ".size")
	class, err := work.ParseClass(k.Class)
	if err != nil {
		faults = append(faults, team.FieldError{Field: path + ".class", Message: err.Error()})
	}
	duration := func(field, text string) time.Duration {
		if text == "" {
			return 0
		}
		d, err := time.ParseDuration(text)
		if err != nil {
			faults = append(faults, team.FieldError{
				Field: path + "." + field, Message: fmt.Sprintf("%q is not a duration such as 90s or 2h", text),
			})
		}
		return d
	}
	return team.Kind{
		Name: k.Name, Class: class, Size: vector, Repeatable: k.Repeatable,
		Expected: duration("expected", k.Expected), Deadline: duration("deadline", k.Deadline),
		Retries: k.Retries, Spread: k.Spread, Region: k.Region,
	}, faults
}

func faultsError(source []byte, faults []team.FieldError) error {
	var root yaml.Node
	_ = yaml.Unmarshal(source, &root) // decoded without error before
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = fmt.Sprintf("line %d: %s: %s", lineOf(&root, f.Field), f.Field, f.Message)
	}
	return fault.New(fault.Invalid, "%s", strings.Join(lines, "; "))
}
