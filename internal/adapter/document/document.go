// Package document decodes team documents and the document of cell quotas from YAML.
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

// MaxSize is the largest accepted document in bytes.
const MaxSize = 256 << 10

// The YAML decoder puts the names of these types into its error messages; see syntaxError.

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

// Largest values of a size; they keep sums of many sizes far from an overflow.
const (
	maxCores     = 1e9
	maxMemoryMiB = 1 << 40
	maxCount     = 1 << 40
)

// vector converts the size. Values that are out of range are reported as errors of fields below the path.
func (s size) vector(path string) (resource.Vector, []team.FieldError) {
	var fieldErrors []team.FieldError
	checkRange := func(field string, outOfRange bool) {
		if outOfRange {
			fieldErrors = append(fieldErrors, team.FieldError{Field: path + "." + field, Message: "is out of range"})
		}
	}
	checkRange("cores", !(s.Cores >= -maxCores && s.Cores <= maxCores)) // NaN fails both comparisons
	checkRange("memory_mib", s.MemoryMiB < -maxMemoryMiB || s.MemoryMiB > maxMemoryMiB)
	checkRange("accelerators", s.Accelerators < -maxCount || s.Accelerators > maxCount)
	checkRange("slots", s.Slots < -maxCount || s.Slots > maxCount)
	if len(fieldErrors) > 0 {
		return resource.Vector{Slots: 1}, fieldErrors
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

// Decode decodes and validates a team document. It fails with Invalid or TooLarge; the error lists all invalid fields
// with their lines.
func Decode(source []byte) (team.Document, error) {
	var raw document
	if err := decodeStrict(source, &raw); err != nil {
		return team.Document{}, err
	}
	doc, fieldErrors := convert(raw)
	fieldErrors = append(fieldErrors, doc.Validate()...)
	if len(fieldErrors) > 0 {
		return team.Document{}, validationError(source, fieldErrors)
	}
	return doc, nil
}

// DecodeCellQuotas decodes and validates the document of cell quotas. It fails as Decode does.
func DecodeCellQuotas(source []byte) (team.CellQuotas, error) {
	var raw cell
	if err := decodeStrict(source, &raw); err != nil {
		return team.CellQuotas{}, err
	}
	out := team.CellQuotas{Version: raw.Version, Quotas: map[ident.TeamID]resource.Vector{}}
	var fieldErrors []team.FieldError
	for name, quota := range raw.Quotas {
		vector, errs := quota.vector("quotas." + name)
		out.Quotas[ident.TeamID(name)] = vector
		fieldErrors = append(fieldErrors, errs...)
	}
	sort.Slice(fieldErrors, func(i, j int) bool { return fieldErrors[i].Field < fieldErrors[j].Field })
	fieldErrors = append(fieldErrors, out.Validate()...)
	if len(fieldErrors) > 0 {
		return team.CellQuotas{}, validationError(source, fieldErrors)
	}
	return out, nil
}

// decodeStrict decodes a source that must hold exactly one YAML document, without unknown fields.
func decodeStrict(source []byte, raw any) error {
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

// syntaxError turns an error of the YAML decoder into one line without the decoder's own prefixes.
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
	quota, fieldErrors := raw.Quota.vector("quota")
	doc := team.Document{
		Version: raw.Version, Team: ident.TeamID(raw.Team), Token: raw.Token, Weight: raw.Weight, Quota: quota,
	}
	for i, k := range raw.Kinds {
		converted, errs := convertKind(fmt.Sprintf("kinds[%d]", i), k)
		doc.Kinds = append(doc.Kinds, converted)
		fieldErrors = append(fieldErrors, errs...)
	}
	return doc, fieldErrors
}

func convertKind(path string, k kind) (team.Kind, []team.FieldError) {
	vector, fieldErrors := k.Size.vector(path + ".size")
	class, err := work.ParseClass(k.Class)
	if err != nil {
		fieldErrors = append(fieldErrors, team.FieldError{Field: path + ".class", Message: err.Error()})
	}
	duration := func(field, text string) time.Duration {
		if text == "" {
			return 0
		}
		d, err := time.ParseDuration(text)
		if err != nil {
			fieldErrors = append(fieldErrors, team.FieldError{
				Field: path + "." + field, Message: fmt.Sprintf("%q is not a duration such as 90s or 2h", text),
			})
		}
		return d
	}
	return team.Kind{
		Name: k.Name, Class: class, Size: vector, Repeatable: k.Repeatable,
		Expected: duration("expected", k.Expected), Deadline: duration("deadline", k.Deadline),
		Retries: k.Retries, Spread: k.Spread, Region: k.Region,
	}, fieldErrors
}

// validationError lists the errors with the lines of their fields.
func validationError(source []byte, fieldErrors []team.FieldError) error {
	var root yaml.Node
	_ = yaml.Unmarshal(source, &root) // the source was already decoded without an error
	lines := make([]string, len(fieldErrors))
	for i, f := range fieldErrors {
		lines[i] = fmt.Sprintf("line %d: %s: %s", lineOf(&root, f.Field), f.Field, f.Message)
	}
	return fault.New(fault.Invalid, "%s", strings.Join(lines, "; "))
}
